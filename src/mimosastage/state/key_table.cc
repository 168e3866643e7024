#include "mimosastage/state/key_table.h"

#include <utility>

#include "mimosastage/state/key_secret.h"

namespace mimosastage {

ChangeRefusal KeyTable::Grant(const KeyGrant& grant) {
  if (!IsName(grant.key_id) || !IsName(grant.client.str())) {
    return {StateError::kBadChange,
            "key_id or client is not a name; use 1 to 128 letters, digits, "
            "dots, dashes and underscores"};
  }
  if (this->by_id.contains(grant.key_id)) {
    return {StateError::kKeyExists, "key id " + grant.key_id +
                                        " is in use; choose another id or "
                                        "revoke that key first"};
  }
  if (this->id_by_hash.contains(grant.hash)) {
    return {StateError::kKeyExists,
            "the same secret is in use; create a new one"};
  }
  if (this->by_id.size() >= kMaxKeys) {
    return {StateError::kKeysFull,
            "8192 keys are granted; revoke keys that are not needed"};
  }
  this->Put({grant.key_id, grant.hash, grant.team, grant.client});
  return {};
}

ChangeRefusal KeyTable::Revoke(const KeyRevoke& revoke) {
  const auto found = this->by_id.find(revoke.key_id);
  if (found == this->by_id.end()) {
    return {StateError::kUnknownKey,
            "no key has the id " +
                revoke.key_id.substr(0, TableSet::kMaxNameBytes) +
                "; list the keys in force"};
  }
  const Key& key = found->second;
  this->id_by_hash.erase(key.hash);
  if (--this->count_by_team[key.team] == 0) {
    this->count_by_team.erase(key.team);
  }
  this->by_id.erase(found);
  return {};
}

const Key* KeyTable::FindBySecret(std::string_view secret) const {
  const auto found = this->id_by_hash.find(HashKeySecret(secret));
  return found == this->id_by_hash.end() ? nullptr
                                         : &this->by_id.at(found->second);
}

bool KeyTable::TeamHasKeys(const TeamName& team) const {
  return this->count_by_team.contains(team);
}

std::vector<Key> KeyTable::Keys() const {
  std::vector<Key> keys;
  keys.reserve(this->by_id.size());
  for (const auto& [key_id, key] : this->by_id) {
    keys.push_back(key);
  }
  return keys;
}

void KeyTable::Restore(const std::vector<Key>& keys) {
  *this = KeyTable();
  for (const Key& key : keys) {
    this->Put(key);
  }
}

void KeyTable::Put(Key key) {
  ++this->count_by_team[key.team];
  this->id_by_hash[key.hash] = key.key_id;
  std::string key_id = key.key_id;
  this->by_id.insert_or_assign(std::move(key_id), std::move(key));
}

}  // namespace mimosastage
