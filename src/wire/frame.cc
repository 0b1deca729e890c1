#include "wire/frame.h"

#include <cstring>

#include "gen/frames.h"

namespace jujube::wire {

namespace {

template <class T>
void Put(std::string* out, T value) {
  out->append(reinterpret_cast<const char*>(&value), sizeof value);
}

template <class T>
T Take(std::string_view* bytes) {
  T value{};
  std::memcpy(&value, bytes->data(), sizeof value);
  bytes->remove_prefix(sizeof value);
  return value;
}

Error Refused(std::string message) {
  return MakeError(ErrorCode::kInvalidInput, "frame: " + std::move(message));
}

}  // namespace

std::string EncodeFrameHeader(const FrameHeader& header) {
  std::string bytes;
  bytes.reserve(kFrameHeadBytes);
  Put(&bytes, kFrameMagic);
  Put(&bytes, header.m_type);
  Put(&bytes, std::uint16_t{0});
  Put(&bytes, header.m_payload_length);
  Put(&bytes, header.m_correlation);
  Put(&bytes, header.m_incarnation);
  return bytes;
}

Result<FrameHeader> DecodeFrameHeader(std::string_view bytes) {
  if (bytes.size() != kFrameHeaderBytes)
    return Refused("header of " + std::to_string(bytes.size()) + " bytes");
  if (Take<std::uint32_t>(&bytes) != kFrameMagic)
    return Refused("wrong magic number");
  FrameHeader header;
  header.m_type = Take<std::uint16_t>(&bytes);
  if (Take<std::uint16_t>(&bytes) != 0)
    return Refused("reserved field is not zero");
  header.m_payload_length = Take<std::uint32_t>(&bytes);
  header.m_correlation = Take<std::uint64_t>(&bytes);
  header.m_incarnation = Take<std::uint64_t>(&bytes);
  const std::size_t max = MaxPayloadBytes(header.m_type);
  if (max == 0)
    return Refused("unknown type " + std::to_string(header.m_type));
  if (header.m_payload_length > max) {
    return Refused("payload of " + std::to_string(header.m_payload_length) +
                   " bytes, allowed for type " + std::to_string(header.m_type) +
                   " are " + std::to_string(max));
  }
  return header;
}

}  // namespace jujube::wire
