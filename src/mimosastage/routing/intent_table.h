#ifndef MIMOSASTAGE_ROUTING_INTENT_TABLE_H_
#define MIMOSASTAGE_ROUTING_INTENT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "mimosastage/state/commands.h"

namespace mimosastage {

enum class IntentState : std::uint8_t { kBegun, kCompleted, kNotRun, kUnknown };

/// An intent as stored in a snapshot.
struct IntentRecord {
  IntentKey key;
  /// The last session that began it.
  Session session;
  std::uint64_t fingerprint = 0;
  /// Time of the last begin.
  WallTime at{};
  IntentState state = IntentState::kBegun;
  /// Set if the state is kCompleted.
  StoredAnswer answer;

  bool operator==(const IntentRecord&) const = default;
};

enum class IntentBeginResult : std::uint8_t {
  /// The request may be sent by the session that began it.
  kStarted,
  kInProgress,
  /// The outcome holds the answer of the earlier request.
  kCompleted,
  kUnknown,
  /// The key was used for another request.
  kFingerprintDiffers,
  kFull,
};

struct IntentBeginOutcome {
  IntentBeginResult result = IntentBeginResult::kStarted;
  /// Set if the result is kCompleted.
  StoredAnswer answer;

  bool operator==(const IntentBeginOutcome&) const = default;
};

enum class IntentEndResult : std::uint8_t {
  kEnded,
  /// It had ended before; nothing changed.
  kAlreadyEnded,
  kNotOwner,
  kNotFound,
};

/// Requests that must not be repeated, by idempotency key. Part of the
/// replicated state: deterministic, without a clock. The table's owner must
/// refuse a Begin of a session that has ended, because such an intent would
/// never end.
class IntentTable {
 public:
  static constexpr std::size_t kMaxIntents = 65'536;
  static constexpr std::size_t kMaxStoredBytes = 16U << 20U;
  /// Maximum length of a stored content type in bytes; a longer one isn't kept.
  static constexpr std::size_t kMaxContentType = 255;

  IntentBeginOutcome Begin(const IntentBegin& command);

  /// Only the session that began the intent can end it. A body isn't kept if it
  /// exceeds kMaxStoredBody or would bring the total above kMaxStoredBytes.
  IntentEndResult End(const IntentEnd& command);

  /// The session's intents without a result become unknown. Returns their
  /// number.
  std::size_t EndSession(const Session& session);

  /// Removes ended intents that began before the given time. Returns their
  /// number.
  std::size_t Expire(const IntentExpiry& command);

  std::size_t Size() const { return this->intents.size(); }
  std::size_t StoredBytes() const { return this->stored_bytes; }

  /// All intents in the order of their keys.
  std::vector<IntentRecord> Records() const;
  /// Replaces the whole table with records returned by Records().
  void Restore(std::vector<IntentRecord> records);

 private:
  struct Intent {
    Session session;
    std::uint64_t fingerprint = 0;
    WallTime at{};
    IntentState state = IntentState::kBegun;
    StoredAnswer answer;
  };
  using Intents = std::map<IntentKey, Intent>;

  static IntentBeginOutcome OutcomeOf(const Intent& intent);
  IntentBeginOutcome Start(const IntentBegin& command);
  void Restart(Intents::iterator found, const IntentBegin& command);
  void StoreAnswer(Intent& intent, const StoredAnswer& answer);
  void AddToIndexes(Intents::iterator position);
  void RemoveFromBegun(Intents::iterator position);

  Intents intents;
  /// Pointers to keys in `intents`, whose nodes have stable addresses.
  std::map<Session, std::set<const IntentKey*>> begun;
  std::set<std::pair<WallTime, const IntentKey*>> by_time;
  std::size_t stored_bytes = 0;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_ROUTING_INTENT_TABLE_H_
