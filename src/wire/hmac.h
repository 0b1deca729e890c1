// HMAC-SHA256 with a fixed key.

#pragma once

#include <array>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace jujube::wire {

// Holds the prepared key, so that a tag costs no key schedule. Not thread-safe.
class Hmac {
 public:
  explicit Hmac(std::string_view key);
  ~Hmac();
  Hmac(Hmac&&) noexcept;
  Hmac& operator=(Hmac&&) noexcept;

  // 32 bytes over the concatenated parts.
  std::string Sign(std::initializer_list<std::string_view> parts);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

// Compares in a time that does not depend on the contents.
bool SameTag(std::string_view a, std::string_view b);

}  // namespace jujube::wire
