// Units of a cap, released when the permit is destroyed.

#pragma once

#include <cstdint>
#include <memory>
#include <utility>

#include "limits/limit_cell.h"

namespace jujube::limits {

// Movable, so that a request can take it to another thread. Keeps the cell
// alive after its limit was removed from the table.
class Permit {
 public:
  Permit() = default;
  Permit(std::shared_ptr<LimitCell> cell, std::uint64_t units)
      : m_cell(std::move(cell)), m_units(units) {}
  Permit(Permit&& other) noexcept
      : m_cell(std::move(other.m_cell)),
        m_units(std::exchange(other.m_units, 0)) {}
  Permit& operator=(Permit&& other) noexcept {
    Reset();
    m_cell = std::move(other.m_cell);
    m_units = std::exchange(other.m_units, 0);
    return *this;
  }
  ~Permit() { Reset(); }

  // Releases the units early.
  void Reset() {
    if (m_cell != nullptr && m_units > 0)
      m_cell->Release(m_units);
    m_cell.reset();
    m_units = 0;
  }

  explicit operator bool() const { return m_units > 0; }

 private:
  std::shared_ptr<LimitCell> m_cell;
  std::uint64_t m_units = 0;
};

}  // namespace jujube::limits
