#include "mimosastage/state/change_outcomes.h"

namespace mimosastage {

const Outcome* ChangeOutcomes::Find(const std::string& change_id) const {
  const auto found = this->outcomes.find(change_id);
  return found == this->outcomes.end() ? nullptr : &found->second;
}

void ChangeOutcomes::Add(const std::string& change_id, Outcome outcome) {
  this->outcomes.emplace(change_id, std::move(outcome));
  this->order.push_back(change_id);
  if (this->order.size() > kMaxChanges) {
    this->outcomes.erase(this->order.front());
    this->order.pop_front();
  }
}

std::vector<ChangeOutcomes::Record> ChangeOutcomes::Records() const {
  std::vector<Record> records;
  records.reserve(this->order.size());
  for (const std::string& change_id : this->order) {
    records.emplace_back(change_id, this->outcomes.at(change_id));
  }
  return records;
}

void ChangeOutcomes::Restore(const std::vector<Record>& records) {
  *this = ChangeOutcomes();
  for (const auto& [change_id, outcome] : records) {
    this->Add(change_id, outcome);
  }
}

}  // namespace mimosastage
