// Structured log lines. Each event has a number (docs/reference/log-events.md).
//
//   ConfigureLog(settings.m_log, "entry-1");   // once, at start
//   Log(LogEvent::kFrameRefused, {{"peer", address}, {"bytes", size}});
//
// Text format:
//   2026-01-31T08:00:00.000Z WARNING 110 FrameRefused entry-1 frame from a peer
//   refused peer=127.0.0.1 bytes=70000
// JSON format: an object with time, level, number, event, host, text and the
// fields under "fields".
//
// Any thread may log. A line is written before Log returns, so that the last
// line before an abort is not lost. Each event is limited to a burst of
// kLogBurst lines and then kLogLinesPerSecond. The next written line of the
// event carries the number of suppressed lines in its field "suppressed", and
// the metric jujube_log_lines_suppressed_total counts them.

#pragma once

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

#include "core/result.h"
#include "gen/log_events.h"
#include "gen/settings.h"
#include "observe/log_field.h"

namespace jujube::observe {

// Limits of a line. After its burst, one event therefore writes at most about
// 10 * 16 * 5 KiB per second: an escaped byte takes five bytes, since its
// backslash is doubled.
inline constexpr std::size_t kMaxLogFields = 16;  // the others are omitted
inline constexpr std::size_t kMaxLogValueBytes = 1024;  // the end is cut off

// Opens the log file and sets level and format for the process. Before the
// first call, lines of level info and above go to standard error as text.
// Returns kIo and keeps the previous configuration if the file cannot be
// opened.
Status ConfigureLog(const LogSettings& settings, std::string_view host);

// Writes a line if the level and the rate limit of the event allow it. All
// bytes in values except printable ASCII are escaped, so that a value cannot
// forge a second line.
void Log(LogEvent event, std::initializer_list<LogField> fields = {});

// Whether lines of this level are written. Lets a caller skip fields that are
// expensive to compute.
bool IsLogLevelEnabled(LogLevel level);

}  // namespace jujube::observe
