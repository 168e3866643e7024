#include "tests/storage/support/random_writes.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace mimosastage::testing {

void Model::ApplySnapshot(const DurableWrite& write) {
  if (!write.snapshot.has_value()) {
    return;
  }
  std::erase_if(this->image.entries, [&](const LogEntry& entry) {
    return entry.index <= write.snapshot_index;
  });
  this->image.snapshot = write.snapshot;
  this->image.snapshot_index = write.snapshot_index;
  this->image.snapshot_view = write.snapshot_view;
}

void Model::Apply(const DurableWrite& write) {
  this->ApplySnapshot(write);
  std::erase_if(this->image.entries, [&](const LogEntry& entry) {
    return entry.index >= write.truncate_from.value_or(entry.index + 1);
  });
  this->image.entries.insert(this->image.entries.end(), write.entries.begin(),
                             write.entries.end());
  this->image.view = write.view.value_or(this->image.view);
  this->image.last_normal_view =
      write.last_normal_view.value_or(this->image.last_normal_view);
  this->image.intact = write.intact.value_or(this->image.intact);
  std::map<DaemonId, Incarnation> known(this->image.incarnations.begin(),
                                        this->image.incarnations.end());
  for (const auto& [voter, incarnation] : write.incarnations) {
    if (voter == this->self) {
      this->image.starts = {incarnation};
    } else {
      known[voter] = incarnation;
    }
  }
  this->image.incarnations = {known.begin(), known.end()};
}

DurableWrite RandomWrites::Next(const Model& model) {
  DurableWrite write;
  LogIndex end = model.LastIndex();
  if (this->Below(6) == 0) {
    this->AddSnapshot(model, write);
    end = std::max(end, write.snapshot_index);
  }
  const LogIndex base =
      std::max(model.image.snapshot_index, write.snapshot_index);
  if (this->Below(4) == 0 && end > base) {
    write.truncate_from = base + 1 + this->Below(end - base);
    end = *write.truncate_from - 1;
    ++this->view;
    write.view = this->view;
    write.last_normal_view = this->view;
    write.intact = this->Below(2) == 0;
  }
  for (std::uint64_t i = this->Below(20); i > 0; --i) {
    write.entries.push_back(
        {++end, this->view, std::string(this->Below(300), 'b')});
  }
  return write;
}

void RandomWrites::AddSnapshot(const Model& model, DurableWrite& write) {
  const LogIndex base = model.image.snapshot_index;
  const bool ahead = this->Below(4) == 0;
  if (!ahead && model.image.entries.empty()) {
    return;
  }
  write.snapshot = std::string(this->Below(2000), 's');
  if (ahead) {
    write.snapshot_index = model.LastIndex() + 1 + this->Below(30);
    write.snapshot_view = this->view;
    return;
  }
  write.snapshot_index = base + 1 + this->Below(model.LastIndex() - base);
  write.snapshot_view =
      model.image.entries[write.snapshot_index - base - 1].view;
}

}  // namespace mimosastage::testing
