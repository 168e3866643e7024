#ifndef MIMOSASTAGE_TESTS_STORAGE_SUPPORT_RANDOM_WRITES_H_
#define MIMOSASTAGE_TESTS_STORAGE_SUPPORT_RANDOM_WRITES_H_

#include <cstdint>
#include <random>

#include "mimosastage/base/names.h"
#include "mimosastage/replication/durable_state.h"

namespace mimosastage::testing {

/// Reference model: the expected content of a data folder, kept in memory.
struct Model {
  DaemonId self{};
  DurableImage image;

  void Apply(const DurableWrite& write);
  /// The part of Apply that DataFolder::Write makes durable immediately.
  void ApplySnapshot(const DurableWrite& write);
  LogIndex LastIndex() const {
    return this->image.snapshot_index + this->image.entries.size();
  }
};

/// Generates random writes that are valid for the model's current content.
class RandomWrites {
 public:
  explicit RandomWrites(std::uint64_t seed) : random(seed) {}

  std::uint64_t Below(std::uint64_t bound) { return this->random() % bound; }

  /// Appends, truncates, takes snapshots or receives one ahead of the log.
  DurableWrite Next(const Model& model);

 private:
  void AddSnapshot(const Model& model, DurableWrite& write);

  std::mt19937_64 random;
  ViewNumber view = 1;
};

}  // namespace mimosastage::testing

#endif  // MIMOSASTAGE_TESTS_STORAGE_SUPPORT_RANDOM_WRITES_H_
