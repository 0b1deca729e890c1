// OperatorApi: the HTTP interface of a control daemon.
//
//   GET  /healthz                        without a key
//   GET  /metrics                        Prometheus text
//   GET  /v1/status                      ControlDaemonStatus, of this host
//   GET  /v1/config[?blocks=no]          Deployment in force
//   GET  /v1/history                     HistoryPage
//   POST /v1/apply                       Deployment -> ApplyAnswer
//   POST /v1/drain, /v1/resume           Drain -> DrainAnswer
//   POST /v1/remove-host                 HostName
//   POST /v1/members                     MemberChange
//
// The body of an error response is a ControlError, except that a refused
// document gets 409 or 422 with an ApplyAnswer and a refused drain gets 422
// with a DrainAnswer. All replicas serve /healthz, /metrics and /v1/status.
// Only the leader serves the other paths; other replicas respond 421 with the
// operator endpoint of the leader, if known. /v1/config and /v1/history are
// read after a read barrier.

#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>

#include "controld/control_operations.h"
#include "controld/control_service.h"
#include "gen/control_status.h"
#include "net/http_exchange.h"

namespace jujube::controld {

class OperatorApi {
 public:
  OperatorApi(ControlService& service, HostId host, std::string key);

  boost::asio::awaitable<void> Handle(net::HttpExchange& exchange);

 private:
  boost::asio::awaitable<void> HandleGet(net::HttpExchange& exchange,
                                         std::string_view path);
  boost::asio::awaitable<void> HandlePost(net::HttpExchange& exchange,
                                          std::string_view path,
                                          std::string body);
  boost::asio::awaitable<void> Apply(net::HttpExchange& exchange,
                                     const std::string& body);
  boost::asio::awaitable<void> SetDrain(net::HttpExchange& exchange,
                                        const std::string& body,
                                        bool is_active);
  boost::asio::awaitable<void> RemoveHost(net::HttpExchange& exchange,
                                          const std::string& body);
  boost::asio::awaitable<void> ChangeMembers(net::HttpExchange& exchange,
                                             const std::string& body);
  boost::asio::awaitable<void> RespondNotApplied(
      net::HttpExchange& exchange,
      const ProposalOutcome& outcome);
  ControlDaemonStatus CurrentStatus() const;
  std::string OperatorName(const net::HttpExchange& exchange) const;

  ControlService& m_service;
  ControlOperations m_operations;
  const HostId m_host;
  const std::string m_key;
};

}  // namespace jujube::controld
