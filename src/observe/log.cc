#include "observe/log.h"

#include <array>
#include <atomic>
#include <ctime>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <variant>

#include <boost/core/null_deleter.hpp>
#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>

#include "core/clock.h"
#include "observe/log_rate_limiter.h"
#include "observe/metrics.h"

namespace jujube::observe {

namespace {

namespace json = boost::json;
namespace log = boost::log;
using Backend = log::sinks::text_ostream_backend;
using Sink = log::sinks::synchronous_sink<Backend>;

// Event numbers have three or four digits. Events whose numbers are equal
// modulo this count would only share a rate limit.
constexpr std::size_t kRateLimiterCount = 4096;

constexpr std::string_view kTruncationMark = "...";

boost::shared_ptr<Sink> MakeSink(
    const boost::shared_ptr<std::ostream>& stream) {
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(stream);
  backend->auto_flush(true);
  auto sink = boost::make_shared<Sink>(backend);
  sink->set_formatter(log::expressions::stream << log::expressions::smessage);
  return sink;
}

// Process-wide configuration and rate limiters.
class LogState {
 public:
  LogState()
      : m_sink(
            MakeSink(boost::shared_ptr<std::ostream>(&std::clog,
                                                     boost::null_deleter()))) {
    log::core::get()->add_sink(m_sink);
  }

  Status Configure(const LogSettings& settings, std::string_view host) {
    boost::shared_ptr<std::ostream> stream(&std::clog, boost::null_deleter());
    if (!settings.m_file.empty()) {
      stream =
          boost::make_shared<std::ofstream>(settings.m_file, std::ios::app);
      if (!stream->good())
        return MakeError(ErrorCode::kIo, "log file \"" + settings.m_file +
                                             "\" cannot be opened");
    }
    const std::unique_lock lock(m_mutex);
    log::core::get()->remove_sink(m_sink);
    m_sink = MakeSink(stream);
    log::core::get()->add_sink(m_sink);
    m_host = host;
    m_format = settings.m_format;
    m_level.store(settings.m_level, std::memory_order_relaxed);
    return Success();
  }

  bool IsLevelEnabled(LogLevel level) const {
    return static_cast<int>(level) >=
           static_cast<int>(m_level.load(std::memory_order_relaxed));
  }

  std::optional<std::uint64_t> TryAcquire(std::uint16_t number) {
    const auto suppressed =
        m_rate_limiters[number % kRateLimiterCount].TryAcquire(
            MonoClock::now());
    if (!suppressed)
      m_suppressed.Add();
    return suppressed;
  }

  void Write(const LogEventInfo& info,
             std::initializer_list<LogField> fields,
             std::uint64_t suppressed);

 private:
  mutable std::shared_mutex m_mutex;  // sink, host and format
  boost::shared_ptr<Sink> m_sink;
  std::string m_host = "-";
  LogFormat m_format = LogFormat::kText;
  std::atomic<MinimumLogLevel> m_level = MinimumLogLevel::kInfo;
  Counter& m_suppressed = CounterOf(Metric::kLogLinesSuppressed);
  std::array<LogRateLimiter, kRateLimiterCount> m_rate_limiters;
};

// Never destroyed: threads may log while static objects are destroyed.
LogState& GlobalLogState() {
  static LogState& state = *new LogState;
  return state;
}

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "DEBUG";
    case LogLevel::kInfo:
      return "INFO";
    case LogLevel::kWarning:
      return "WARNING";
    case LogLevel::kError:
      return "ERROR";
  }
  return "ERROR";
}

std::string FormatCurrentTime() {
  const std::int64_t millis = SystemClock().WallNow().count();
  const std::time_t seconds = millis / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 40> text{};
  const std::size_t size =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::string fraction = std::to_string(1000 + millis % 1000);
  fraction[0] = '.';
  return std::string(text.data(), size) + fraction + "Z";
}

// Escapes all bytes but printable ASCII: tools that read log files may not
// expect them, and Boost.JSON does not check strings for valid UTF-8.
std::string EscapeAndTruncate(std::string_view value) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char c : value.substr(0, kMaxLogValueBytes)) {
    if (c >= ' ' && c <= '~') {
      text += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    text += "\\x";
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  if (value.size() > kMaxLogValueBytes)
    text += kTruncationMark;
  return text;
}

json::value FieldToJson(const LogValue& value) {
  if (const auto* text = std::get_if<std::string_view>(&value))
    return json::string(EscapeAndTruncate(*text));
  return std::visit(
      [](const auto& number) -> json::value {
        if constexpr (std::is_arithmetic_v<std::decay_t<decltype(number)>>)
          return number;
        return nullptr;
      },
      value);
}

json::object FieldsToJson(std::initializer_list<LogField> fields,
                          std::uint64_t suppressed) {
  json::object object;
  for (const LogField& field : fields) {
    if (object.size() == kMaxLogFields)
      break;
    object[field.m_name] = FieldToJson(field.m_value);
  }
  if (suppressed > 0)
    object["suppressed"] = suppressed;
  return object;
}

// Quotes strings that are empty or contain a space, an equals sign, a quotation
// mark or a backslash, so that a value cannot be mistaken for a field.
std::string FieldToText(const json::value& value) {
  if (!value.is_string())
    return json::serialize(value);
  const std::string_view text = value.get_string();
  const bool is_unquoted =
      !text.empty() && text.find_first_of(" =\"\\") == std::string_view::npos;
  return is_unquoted ? std::string(text) : json::serialize(value);
}

std::string FormatTextLine(const LogEventInfo& info,
                           const std::string& host,
                           const json::object& fields) {
  std::string line = FormatCurrentTime();
  line.append(" ").append(LevelName(info.m_level));
  line.append(" ").append(std::to_string(info.m_number));
  line.append(" ").append(info.m_name);
  line.append(" ").append(host);
  line.append(" ").append(info.m_text);
  for (const auto& field : fields)
    line.append(" ")
        .append(field.key())
        .append("=")
        .append(FieldToText(field.value()));
  return line;
}

std::string FormatJsonLine(const LogEventInfo& info,
                           const std::string& host,
                           const json::object& fields) {
  return json::serialize(json::object{{"time", FormatCurrentTime()},
                                      {"level", LevelName(info.m_level)},
                                      {"number", info.m_number},
                                      {"event", info.m_name},
                                      {"host", host},
                                      {"text", info.m_text},
                                      {"fields", fields}});
}

void LogState::Write(const LogEventInfo& info,
                     std::initializer_list<LogField> fields,
                     std::uint64_t suppressed) {
  const json::object values = FieldsToJson(fields, suppressed);
  const std::shared_lock lock(m_mutex);
  const std::string line = m_format == LogFormat::kJson
                               ? FormatJsonLine(info, m_host, values)
                               : FormatTextLine(info, m_host, values);
  log::sources::logger logger;
  BOOST_LOG(logger) << line;
}

}  // namespace

Status ConfigureLog(const LogSettings& settings, std::string_view host) {
  return GlobalLogState().Configure(settings, host);
}

void Log(LogEvent event, std::initializer_list<LogField> fields) {
  const LogEventInfo info = InfoOf(event);
  LogState& state = GlobalLogState();
  if (!state.IsLevelEnabled(info.m_level))
    return;
  const auto suppressed = state.TryAcquire(info.m_number);
  if (suppressed)
    state.Write(info, fields, *suppressed);
}

bool IsLogLevelEnabled(LogLevel level) {
  return GlobalLogState().IsLevelEnabled(level);
}

}  // namespace jujube::observe
