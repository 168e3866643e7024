#ifndef MIMOSASTAGE_STATE_KEY_TABLE_H_
#define MIMOSASTAGE_STATE_KEY_TABLE_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mimosastage/base/names.h"
#include "mimosastage/state/commands.h"
#include "mimosastage/state/table_set.h"

namespace mimosastage {

/// A granted key. Only the hash of its secret is stored.
struct Key {
  std::string key_id;
  KeyHash hash{};
  TeamName team;
  ClientName client;

  bool operator==(const Key&) const = default;
};

/// The granted keys of all teams, indexed by key id and by secret hash.
class KeyTable {
 public:
  static constexpr std::size_t kMaxKeys = 8'192;

  ChangeRefusal Grant(const KeyGrant& grant);
  ChangeRefusal Revoke(const KeyRevoke& revoke);

  /// The key with this secret, or null; valid until the next change.
  const Key* FindBySecret(std::string_view secret) const;
  bool TeamHasKeys(const TeamName& team) const;

  /// All keys, sorted by key id.
  std::vector<Key> Keys() const;
  void Restore(const std::vector<Key>& keys);

 private:
  void Put(Key key);

  std::map<std::string, Key, std::less<>> by_id;
  std::map<KeyHash, std::string> id_by_hash;
  std::map<TeamName, std::size_t> count_by_team;
};

}  // namespace mimosastage

#endif  // MIMOSASTAGE_STATE_KEY_TABLE_H_
