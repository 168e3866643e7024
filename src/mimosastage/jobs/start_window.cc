#include "mimosastage/jobs/start_window.h"

#include <algorithm>

namespace mimosastage::jobs {

std::size_t StartWindow::Room() const {
  const std::size_t limit = this->Size();
  return this->open < limit ? limit - this->open : 0;
}

void StartWindow::OnWait(Duration wait, TimePoint now) {
  if (wait <= this->config.target_wait) {
    this->size = std::min(this->size + 1 / this->size,
                          static_cast<double>(this->config.max_size));
    return;
  }
  if (now - this->last_decrease >= this->config.decrease_interval) {
    this->last_decrease = now;
    this->size = std::max(this->size * this->config.decrease,
                          static_cast<double>(this->config.min_size));
  }
}

}  // namespace mimosastage::jobs
