#include "wire/hmac.h"

#include <cstdlib>
#include <new>

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

namespace jujube::wire {

namespace {

constexpr std::size_t kSha256Bytes = 32;

// EVP_MAC_fetch takes a lock and searches for the algorithm, so the result is
// cached.
EVP_MAC* HmacAlgorithm() {
  static EVP_MAC* const algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  return algorithm;
}

// OpenSSL fails here only when memory is exhausted; a frame without a valid
// tag must never be sent, so the process aborts.
void AbortUnless(bool succeeded) {
  if (!succeeded)
    std::abort();
}

}  // namespace

struct Hmac::Impl {
  EVP_MAC_CTX* m_context = nullptr;
};

Hmac::Hmac(std::string_view key) : m_impl(std::make_unique<Impl>()) {
  std::array<char, 7> digest = {"SHA256"};
  const std::array<OSSL_PARAM, 2> parameters = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), 0),
      OSSL_PARAM_construct_end()};
  m_impl->m_context = EVP_MAC_CTX_new(HmacAlgorithm());
  AbortUnless(m_impl->m_context != nullptr);
  AbortUnless(EVP_MAC_init(m_impl->m_context,
                           reinterpret_cast<const unsigned char*>(key.data()),
                           key.size(), parameters.data()) == 1);
}

Hmac::~Hmac() {
  if (m_impl)
    EVP_MAC_CTX_free(m_impl->m_context);
}

Hmac::Hmac(Hmac&&) noexcept = default;

Hmac& Hmac::operator=(Hmac&& other) noexcept {
  std::swap(m_impl, other.m_impl);
  return *this;
}

std::string Hmac::Sign(std::initializer_list<std::string_view> parts) {
  AbortUnless(EVP_MAC_init(m_impl->m_context, nullptr, 0, nullptr) == 1);
  for (const std::string_view part : parts) {
    AbortUnless(
        EVP_MAC_update(m_impl->m_context,
                       reinterpret_cast<const unsigned char*>(part.data()),
                       part.size()) == 1);
  }
  std::string tag(kSha256Bytes, '\0');
  std::size_t size = 0;
  AbortUnless(EVP_MAC_final(m_impl->m_context,
                            reinterpret_cast<unsigned char*>(tag.data()), &size,
                            tag.size()) == 1);
  return tag;
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace jujube::wire
