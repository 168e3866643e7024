#include "mimosastage/daemons/random_bytes.h"

#include <openssl/rand.h>

#include "mimosastage/telemetry/fatal_log.h"

namespace mimosastage {

void FillWithRandomBytes(std::span<unsigned char> bytes) {
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    AbortProcess(
        "the system gives no random numbers; check the configuration of "
        "OpenSSL");
  }
}

}  // namespace mimosastage
