// HMAC-SHA256 with a fixed key.

#pragma once

#include <array>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace jujube::wire {

// Caches the key setup between calls of Sign. Not thread-safe.
class Hmac {
 public:
  explicit Hmac(std::string_view key);
  ~Hmac();
  Hmac(Hmac&&) noexcept;
  Hmac& operator=(Hmac&&) noexcept;

  // Returns the 32-byte tag of the concatenated parts.
  std::string Sign(std::initializer_list<std::string_view> parts);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

// Compares in a time that depends on the sizes, but not on the contents.
bool ConstantTimeEqual(std::string_view a, std::string_view b);

}  // namespace jujube::wire
