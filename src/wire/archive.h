// cereal archives for messages: little-endian, with a limit on every count.
//
// A count is checked against the limit in the schema and against the remaining
// bytes before anything is allocated, because cereal alone would allocate any
// size that the input claims. Only codec sources include this file.

#pragma once

#include <bit>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <cereal/cereal.hpp>

#include "core/name_limit.h"

namespace jujube::wire {

static_assert(std::endian::native == std::endian::little,
              "the archives do not support big-endian targets");

using jujube::kMaxNameBytes;

class OutputArchive : public cereal::OutputArchive<OutputArchive> {
 public:
  explicit OutputArchive(std::string* out)
      : cereal::OutputArchive<OutputArchive>(this), m_out(out) {}

  void Append(const void* data, std::size_t size) {
    m_out->append(static_cast<const char*>(data), size);
  }

 private:
  std::string* m_out;
};

class InputArchive : public cereal::InputArchive<InputArchive> {
 public:
  explicit InputArchive(std::string_view bytes)
      : cereal::InputArchive<InputArchive>(this), m_bytes(bytes) {}

  std::size_t RemainingBytes() const { return m_bytes.size(); }

  void Read(void* data, std::size_t size) {
    if (size > m_bytes.size())
      throw cereal::Exception("message is truncated");
    std::memcpy(data, m_bytes.data(), size);
    m_bytes.remove_prefix(size);
  }

 private:
  std::string_view m_bytes;
};

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const T& value) {
  archive.Append(&value, sizeof value);
}

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;
    archive.Read(&byte, 1);
    if (byte > 1)
      throw cereal::Exception("boolean out of range");
    value = byte == 1;
  } else {
    archive.Read(&value, sizeof value);
  }
}

template <class Archive, class T>
requires(
    std::is_same_v<Archive, OutputArchive> ||
    std::is_same_v<
        Archive,
        InputArchive>) void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive,
                                                           cereal::
                                                               NameValuePair<T>&
                                                                   pair) {
  archive(pair.value);
}

// A string or vector and its limit from the schema, in bytes or elements. The
// limit of a vector of strings also applies to the bytes of each string.
template <class T>
struct BoundedRef {
  T& m_value;
  std::size_t m_max_size;
};

template <class T>
BoundedRef<T> Bounded(T& value, std::size_t max_size) {
  return {value, max_size};
}

template <class T>
inline constexpr bool kIsString =
    std::is_same_v<std::remove_const_t<T>, std::string>;

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive,
                               const BoundedRef<T>& bounded) {
  if (bounded.m_value.size() > bounded.m_max_size)
    throw cereal::Exception("field is larger than its limit");
  archive(static_cast<std::uint32_t>(bounded.m_value.size()));
  if constexpr (kIsString<T>) {
    archive.Append(bounded.m_value.data(), bounded.m_value.size());
  } else {
    for (auto& element : bounded.m_value) {
      if constexpr (kIsString<std::remove_reference_t<decltype(element)>>)
        archive(Bounded(element, bounded.m_max_size));
      else
        archive(element);
    }
  }
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, BoundedRef<T>& bounded) {
  std::uint32_t count = 0;
  archive(count);
  if (count > bounded.m_max_size || count > archive.RemainingBytes())
    throw cereal::Exception("count is larger than its limit");
  if constexpr (kIsString<T>) {
    bounded.m_value.resize(count);
    archive.Read(bounded.m_value.data(), count);
  } else {
    bounded.m_value.clear();
    for (std::uint32_t i = 0; i < count; ++i) {
      auto& element = bounded.m_value.emplace_back();
      if constexpr (kIsString<std::remove_reference_t<decltype(element)>>)
        archive(Bounded(element, bounded.m_max_size));
      else
        archive(element);
    }
  }
}

// A duration, encoded as a signed 64-bit count of its unit.
template <class Duration>
struct DurationRef {
  Duration& m_value;
};

template <class Duration>
DurationRef<Duration> Count(Duration& value) {
  return {value};
}

template <class Duration>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive,
                               const DurationRef<Duration>& duration) {
  archive(static_cast<std::int64_t>(duration.m_value.count()));
}

template <class Duration>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive,
                               DurationRef<Duration>& duration) {
  std::int64_t count = 0;
  archive(count);
  duration.m_value = Duration(count);
}

// An enumerator, encoded as one byte; unknown values are rejected. The wrapper
// prevents cereal's own overload for enumerations from being selected.
template <class Enum>
struct EnumRef {
  Enum& m_value;
  std::uint8_t m_enumerator_count;
};

template <class Enum>
EnumRef<Enum> Checked(Enum& value, std::uint8_t enumerator_count) {
  return {value, enumerator_count};
}

template <class Enum>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive,
                               const EnumRef<Enum>& checked) {
  archive(static_cast<std::uint8_t>(checked.m_value));
}

template <class Enum>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, EnumRef<Enum>& checked) {
  std::uint8_t number = 0;
  archive(number);
  if (number >= checked.m_enumerator_count)
    throw cereal::Exception("enumerator out of range");
  checked.m_value = static_cast<Enum>(number);
}

}  // namespace jujube::wire

CEREAL_REGISTER_ARCHIVE(jujube::wire::OutputArchive)
CEREAL_REGISTER_ARCHIVE(jujube::wire::InputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(jujube::wire::InputArchive,
                            jujube::wire::OutputArchive)
