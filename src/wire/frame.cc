#include "wire/frame.h"

#include <cstring>

#include "gen/frames.h"

namespace jujube::wire {

namespace {

template <class T>
void AppendInteger(std::string* out, T value) {
  out->append(reinterpret_cast<const char*>(&value), sizeof value);
}

template <class T>
T ReadInteger(std::string_view* bytes) {
  T value{};
  std::memcpy(&value, bytes->data(), sizeof value);
  bytes->remove_prefix(sizeof value);
  return value;
}

Error InvalidFrame(std::string message) {
  return MakeError(ErrorCode::kInvalidInput, "frame: " + std::move(message));
}

}  // namespace

std::string EncodeFrameHeader(const FrameHeader& header) {
  std::string bytes;
  bytes.reserve(kFrameHeadBytes);
  AppendInteger(&bytes, kFrameMagic);
  AppendInteger(&bytes, header.m_type);
  AppendInteger(&bytes, std::uint16_t{0});
  AppendInteger(&bytes, header.m_payload_length);
  AppendInteger(&bytes, header.m_correlation);
  AppendInteger(&bytes, header.m_incarnation);
  return bytes;
}

Result<FrameHeader> DecodeFrameHeader(std::string_view bytes) {
  if (bytes.size() != kFrameHeaderBytes)
    return InvalidFrame("invalid header size: " + std::to_string(bytes.size()) +
                        " bytes");
  if (ReadInteger<std::uint32_t>(&bytes) != kFrameMagic)
    return InvalidFrame("wrong magic number");
  FrameHeader header;
  header.m_type = ReadInteger<std::uint16_t>(&bytes);
  if (ReadInteger<std::uint16_t>(&bytes) != 0)
    return InvalidFrame("reserved field is not zero");
  header.m_payload_length = ReadInteger<std::uint32_t>(&bytes);
  header.m_correlation = ReadInteger<std::uint64_t>(&bytes);
  header.m_incarnation = ReadInteger<std::uint64_t>(&bytes);
  const std::size_t max_bytes = MaxPayloadBytes(header.m_type);
  if (max_bytes == 0)
    return InvalidFrame("unknown type " + std::to_string(header.m_type));
  if (header.m_payload_length > max_bytes) {
    return InvalidFrame(
        "payload of " + std::to_string(header.m_payload_length) +
        " bytes exceeds the limit of type " + std::to_string(header.m_type) +
        ", which is " + std::to_string(max_bytes));
  }
  return header;
}

}  // namespace jujube::wire
