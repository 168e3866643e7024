#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "mimosastage/admission/allowance_messages.h"
#include "mimosastage/daemons/message_codec.h"
#include "mimosastage/routing/announcement.h"
#include "mimosastage/state/command_codec.h"

namespace mimosastage {
namespace {

/// Each decoder of bytes that other daemons send, by turns. What was decoded is
/// encoded again, which reads all of it.
void DecodeByAll(const std::string& bytes) {
  if (const auto message = DecodeMessage(bytes); message.has_value()) {
    EncodeMessage(*message);
  }
  if (const auto proposal = DecodeProposal(bytes); proposal.has_value()) {
    EncodeProposal(*proposal);
  }
  if (const auto delta = DecodeAnnouncementDelta(bytes); delta.has_value()) {
    EncodeAnnouncementDelta(*delta);
    for (const Announcement& announcement : delta->changed) {
      static_cast<void>(ValidateAnnouncement(announcement));
    }
  }
  if (const auto report = DecodeDemandReport(bytes); report.has_value()) {
    EncodeDemandReport(*report);
  }
  if (const auto notice = DecodeLenderNotice(bytes); notice.has_value()) {
    EncodeLenderNotice(*notice);
  }
  if (const auto command = DecodeCommand(bytes); command.has_value()) {
    EncodeCommand(*command);
  }
}

std::vector<std::string> OneOfEach() {
  const Session session{DaemonId{7}, SessionId{9}};
  const Resource resource{ResourceKind::kBackendServerSlots, "server"};
  Announcement announcement;
  announcement.name = BackendServerName("server");
  announcement.address = "10.0.0.1";
  announcement.port = 80;
  announcement.pool = PoolName("pool");
  announcement.availability_zone = AvailabilityZone("zone");
  announcement.slots = 4;
  announcement.connections = 8;
  DemandReport report;
  report.session = session;
  report.resources.push_back({resource, 1, 2, 3, 4});
  report.teams.push_back({PoolName("pool"), TeamName("team"), 1, 2});
  LenderNotice notice;
  notice.session = session;
  notice.recalls.push_back({resource, 5});
  notice.fractions.push_back({PoolName("pool"), TeamName("team"), 6});
  notice.exhausted_teams.emplace_back("team");
  AllowanceMoves moves;
  moves.backend_server_slots.emplace_back("server", 4);
  moves.moves.push_back({resource, session, 1, 2});
  return {EncodeMessage(ReplicationBytes{"bytes"}),
          EncodeMessage(Proposal{session, 3, "command"}),
          EncodeMessage(JobsBytes{"bytes"}),
          EncodeProposal(Proposal{session, 3, "command"}),
          EncodeAnnouncementDelta(AnnouncementDelta{
              {announcement}, {announcement.name}, {announcement.name}}),
          EncodeDemandReport(report),
          EncodeLenderNotice(notice),
          EncodeCommand(Command(moves)),
          EncodeCommand(Command(SessionStart{session}))};
}

class OddBytesOfDaemonsTest : public ::testing::Test {};

// Guards against bytes of another daemon, or in the log, that end the process.
RC_GTEST_FIXTURE_PROP(OddBytesOfDaemonsTest, Decode_Arbitrary_ProcessGoesOn,
                      (const std::vector<char>& bytes)) {
  DecodeByAll({bytes.begin(), bytes.end()});
}

// Guards against an encoded message that ends the process once some of its
// bytes are changed or its end is missing.
RC_GTEST_FIXTURE_PROP(OddBytesOfDaemonsTest, Decode_Damaged_ProcessGoesOn, ()) {
  std::string bytes = *rc::gen::elementOf(OneOfEach());
  const auto changes = *rc::gen::inRange(0, 6);
  for (int i = 0; i < changes; ++i) {
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
        *rc::gen::arbitrary<char>();
  }
  if (*rc::gen::arbitrary<bool>()) {
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  }
  DecodeByAll(bytes);
}

}  // namespace
}  // namespace mimosastage
