#ifndef MIMOSASTAGE_TESTS_STATE_SUPPORT_RANDOM_COMMANDS_H_
#define MIMOSASTAGE_TESTS_STATE_SUPPORT_RANDOM_COMMANDS_H_

#include <cstdint>
#include <random>
#include <string>

#include "mimosastage/state/commands.h"

namespace mimosastage {

/// Generates random commands from a small set of names, so that commands often
/// refer to the same rows. About one row in eight has a value that must be
/// refused.
class RandomCommands {
 public:
  explicit RandomCommands(std::uint64_t seed) : random(seed) {}

  /// A number from 0 to `bound` - 1.
  std::uint64_t Below(std::uint64_t bound) { return this->random() % bound; }
  bool OneIn(std::uint64_t n) { return this->Below(n) == 0; }
  /// `prefix` followed by a number from 0 to `count` - 1.
  std::string PickName(const std::string& prefix, std::uint64_t count) {
    return prefix + std::to_string(this->Below(count));
  }

  Row RandomRow(TableKind table);
  /// The change has no id and no base version yet.
  TableChange RandomChange();
  KeyGrant RandomGrant();
  InstanceTransition RandomTransition();
  Session RandomSession();
  /// A command of any kind with arbitrary bytes in its strings.
  Command RandomCommand();

 private:
  std::string RandomString();

  std::mt19937_64 random;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_TESTS_STATE_SUPPORT_RANDOM_COMMANDS_H_
