#include "mimosastage/jobs/start_window.h"

#include <algorithm>

namespace mimosastage::jobs {

std::size_t StartWindow::Room() const {
  const std::size_t limit = this->Size();
  return this->open < limit ? limit - this->open : 0;
}

bool StartWindow::IsRecovering(TimePoint now) const {
  return this->config.recovery_delay.count() > 0 &&
         this->size < this->former_size &&
         now - this->last_decrease >= this->config.recovery_delay;
}

void StartWindow::OnWait(Duration wait, TimePoint now) {
  if (wait <= this->config.target_wait) {
    const double growth = this->IsRecovering(now) ? 1 : 1 / this->size;
    this->size = std::min(this->size + growth,
                          static_cast<double>(this->config.max_size));
    return;
  }
  if (now - this->last_decrease >= this->config.decrease_interval) {
    const bool in_series =
        now - this->last_decrease < this->config.recovery_delay;
    if (!in_series) {
      this->former_size = this->size * this->config.decrease;
    }
    this->last_decrease = now;
    this->size = std::max(this->size * this->config.decrease,
                          static_cast<double>(this->config.min_size));
  }
}

}  // namespace mimosastage::jobs
