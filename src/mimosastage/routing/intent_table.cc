#include "mimosastage/routing/intent_table.h"

#include <utility>

namespace mimosastage {
namespace {

IntentState StateAfter(IntentOutcome outcome) {
  switch (outcome) {
    case IntentOutcome::kCompleted:
      return IntentState::kCompleted;
    case IntentOutcome::kNotRun:
      return IntentState::kNotRun;
    case IntentOutcome::kUnknown:
      return IntentState::kUnknown;
  }
  return IntentState::kUnknown;
}

}  // namespace

IntentBeginOutcome IntentTable::Begin(const IntentBegin& command) {
  auto found = this->intents.find(command.key);
  if (found == this->intents.end()) {
    return this->Start(command);
  }
  const Intent& intent = found->second;
  if (intent.fingerprint != command.fingerprint) {
    return {IntentBeginResult::kFingerprintDiffers, {}};
  }
  if (intent.state != IntentState::kNotRun) {
    return OutcomeOf(intent);
  }
  this->Restart(found, command);
  return {IntentBeginResult::kStarted, {}};
}

IntentBeginOutcome IntentTable::OutcomeOf(const Intent& intent) {
  switch (intent.state) {
    case IntentState::kBegun:
      return {IntentBeginResult::kInProgress, {}};
    case IntentState::kCompleted:
      return {IntentBeginResult::kCompleted, intent.answer};
    case IntentState::kNotRun:
    case IntentState::kUnknown:
      break;
  }
  return {IntentBeginResult::kUnknown, {}};
}

IntentBeginOutcome IntentTable::Start(const IntentBegin& command) {
  if (this->intents.size() >= kMaxIntents) {
    return {IntentBeginResult::kFull, {}};
  }
  Intent intent;
  intent.session = command.session;
  intent.fingerprint = command.fingerprint;
  intent.at = command.at;
  const auto position =
      this->intents.emplace(command.key, std::move(intent)).first;
  this->AddToIndexes(position);
  return {IntentBeginResult::kStarted, {}};
}

void IntentTable::Restart(Intents::iterator found, const IntentBegin& command) {
  auto& [key, intent] = *found;
  this->by_time.erase({intent.at, &key});
  intent.session = command.session;
  intent.at = command.at;
  intent.state = IntentState::kBegun;
  this->AddToIndexes(found);
}

IntentEndResult IntentTable::End(const IntentEnd& command) {
  auto found = this->intents.find(command.key);
  if (found == this->intents.end()) {
    return IntentEndResult::kNotFound;
  }
  Intent& intent = found->second;
  if (intent.session != command.session) {
    return IntentEndResult::kNotOwner;
  }
  if (intent.state != IntentState::kBegun) {
    return IntentEndResult::kAlreadyEnded;
  }
  this->RemoveFromBegun(found);
  intent.state = StateAfter(command.outcome);
  if (intent.state == IntentState::kCompleted) {
    this->StoreAnswer(intent, command.answer);
  }
  return IntentEndResult::kEnded;
}

void IntentTable::StoreAnswer(Intent& intent, const StoredAnswer& answer) {
  const std::size_t size = answer.body.size();
  const bool fits =
      size <= kMaxStoredBody && this->stored_bytes + size <= kMaxStoredBytes;
  intent.answer.status = answer.status;
  if (answer.content_type.size() <= kMaxContentType) {
    intent.answer.content_type = answer.content_type;
  }
  intent.answer.body_kept = answer.body_kept && fits;
  if (intent.answer.body_kept) {
    intent.answer.body = answer.body;
    this->stored_bytes += size;
  }
}

std::size_t IntentTable::EndSession(const Session& session) {
  auto found = this->begun.find(session);
  if (found == this->begun.end()) {
    return 0;
  }
  for (const IntentKey* key : found->second) {
    this->intents.at(*key).state = IntentState::kUnknown;
  }
  const std::size_t count = found->second.size();
  this->begun.erase(found);
  return count;
}

std::size_t IntentTable::Expire(const IntentExpiry& command) {
  std::size_t count = 0;
  auto position = this->by_time.begin();
  while (position != this->by_time.end() && position->first < command.before) {
    const auto found = this->intents.find(*position->second);
    const Intent& intent = found->second;
    if (intent.state == IntentState::kBegun) {
      ++position;
      continue;
    }
    this->stored_bytes -= intent.answer.body.size();
    position = this->by_time.erase(position);
    this->intents.erase(found);
    ++count;
  }
  return count;
}

std::vector<IntentRecord> IntentTable::Records() const {
  std::vector<IntentRecord> records;
  records.reserve(this->intents.size());
  for (const auto& [key, intent] : this->intents) {
    records.push_back({key, intent.session, intent.fingerprint, intent.at,
                       intent.state, intent.answer});
  }
  return records;
}

void IntentTable::Restore(std::vector<IntentRecord> records) {
  this->intents.clear();
  this->begun.clear();
  this->by_time.clear();
  this->stored_bytes = 0;
  for (IntentRecord& record : records) {
    this->stored_bytes += record.answer.body.size();
    Intent intent{record.session, record.fingerprint, record.at, record.state,
                  std::move(record.answer)};
    const auto position =
        this->intents.emplace(std::move(record.key), std::move(intent)).first;
    this->AddToIndexes(position);
  }
}

void IntentTable::AddToIndexes(Intents::iterator position) {
  const auto& [key, intent] = *position;
  this->by_time.emplace(intent.at, &key);
  if (intent.state == IntentState::kBegun) {
    this->begun[intent.session].insert(&key);
  }
}

void IntentTable::RemoveFromBegun(Intents::iterator position) {
  auto found = this->begun.find(position->second.session);
  found->second.erase(&position->first);
  if (found->second.empty()) {
    this->begun.erase(found);
  }
}

}  // namespace mimosastage
