#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "entry/native_dialect.h"
#include "net/http_fields.h"

namespace jujube::entry {
namespace {

using std::chrono::milliseconds;

std::vector<Header> CallerHeaders() {
  return {{"Host", "a.example"},
          {"Authorization", "Bearer k-17"},
          {"AUTHORIZATION", "Bearer k-18"},
          {"Jujube-Tenant", "forged"},
          {"jujube-tenant", "forged"},
          {"JUJUBE-TENANT", "forged"},
          {"Jujube-Tenant", ""},
          {"X-Other", "kept"}};
}

std::vector<Header> UpstreamHeaders(const Route& route) {
  const steering::Selection selection{};
  return NativeDialect::UpstreamHead(
             {.m_method = "GET", .m_headers = CallerHeaders()}, route,
             milliseconds(900), "", selection)
      .m_headers;
}

// Values of all fields of this name, in any spelling.
std::vector<std::string> ValuesOf(const std::vector<Header>& headers,
                                  const std::string& name) {
  std::vector<std::string> values;
  for (const Header& header : headers) {
    if (net::EqualsIgnoreCase(header.m_name, name))
      values.push_back(header.m_value);
  }
  return values;
}

using Values = std::vector<std::string>;

// Guards against an upstream that learns the key of a caller, or that takes the
// name which the caller states for its tenant.
TEST(TenantHeaders, TheNameOfTheTenantReplacesTheKey) {
  const std::vector<Header> headers =
      UpstreamHeaders({.m_has_tenants = true, .m_tenant = TenantId{"ferry"}});
  EXPECT_EQ(ValuesOf(headers, "Authorization"), Values());
  EXPECT_EQ(ValuesOf(headers, "Jujube-Tenant"), Values{"ferry"});
  EXPECT_EQ(ValuesOf(headers, "X-Other"), Values{"kept"});
}

// Guards against an anonymous caller that poses as a tenant.
TEST(TenantHeaders, AnAnonymousRequestHasNoTenant) {
  const std::vector<Header> headers = UpstreamHeaders({.m_has_tenants = true});
  EXPECT_EQ(ValuesOf(headers, "Authorization"), Values());
  EXPECT_EQ(ValuesOf(headers, "Jujube-Tenant"), Values());
}

// Guards against a deployment without tenants whose upstreams check the
// credentials of callers themselves.
TEST(TenantHeaders, WithoutTenantsAllFieldsArePassedOn) {
  const std::vector<Header> headers = UpstreamHeaders({});
  EXPECT_EQ(ValuesOf(headers, "Authorization"),
            (Values{"Bearer k-17", "Bearer k-18"}));
  EXPECT_EQ(ValuesOf(headers, "Jujube-Tenant"),
            (Values{"forged", "forged", "forged", ""}));
}

}  // namespace
}  // namespace jujube::entry
