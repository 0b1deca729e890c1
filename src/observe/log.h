// Log lines with numbers from the catalogue (docs/reference/log-events.md).
//
//   ConfigureLog(settings.m_log, "entry-1");   // once, at start
//   Log(LogEvent::kFrameRefused, {{"peer", address}, {"bytes", size}});
//
// Text form:
//   2026-01-31T08:00:00.000Z WARNING 110 FrameRefused entry-1 frame from a peer
//   refused peer=127.0.0.1 bytes=70000
// JSON form: an object with time, level, number, event, host, text and the
// fields under "fields".
//
// Any thread may log. A line is written before Log returns, so that the last
// line before an abort is kept. Each event has a budget of kLogBurst lines and
// kLogLinesPerSecond after that; the next written line of the event carries
// the number of lines left out as "suppressed", and the metric
// jujube_log_lines_suppressed_total counts them.

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

// Bounds of a line. With them a flood of one event writes at most about
// 10 * 16 * 4 KiB per second (an escaped byte takes four).
inline constexpr std::size_t kMaxLogFields = 16;        // more are left out
inline constexpr std::size_t kMaxLogValueBytes = 1024;  // longer are cut

// Opens the file and sets level and form for the process. Before the first
// call, lines of level info and above go to standard error as text. Fails with
// kIo if the file cannot be opened; the earlier configuration then stays.
Status ConfigureLog(const LogSettings& settings, std::string_view host);

// Writes a line if the level and the budget of the event allow it. Control
// characters in values are escaped, so a value cannot forge a second line.
void Log(LogEvent event, std::initializer_list<LogField> fields = {});

// Whether lines of the level are written; for fields that are costly to make.
bool LogEnabled(LogLevel level);

}  // namespace jujube::observe
