#include "mimosastage/jobs/job_changes.h"

#include <utility>

namespace mimosastage::jobs {
namespace {

/// About 4,000 runs start or end per second, and the leader reads the changes
/// at least every 100 ms.
constexpr std::size_t kMaxChanges = 4'096;

}  // namespace

void JobChanges::Add(JobChange change) {
  if (this->changes.size() == kMaxChanges) {
    this->changes.pop_front();
    ++this->first;
  }
  this->changes.push_back(std::move(change));
}

void JobChanges::AddAll() {
  this->first += this->changes.size() + 1;
  this->changes.clear();
}

bool JobChanges::ReadSince(
    std::uint64_t& position,
    const std::function<void(const JobChange&)>& visit) const {
  const std::uint64_t end = this->first + this->changes.size();
  const bool complete = position >= this->first && position <= end;
  if (complete) {
    for (std::uint64_t i = position; i < end; ++i) {
      visit(this->changes[i - this->first]);
    }
  }
  position = end;
  return complete;
}

}  // namespace mimosastage::jobs
