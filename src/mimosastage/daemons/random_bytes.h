#ifndef MIMOSASTAGE_DAEMONS_RANDOM_BYTES_H_
#define MIMOSASTAGE_DAEMONS_RANDOM_BYTES_H_

#include <span>

namespace mimosastage {

/// Fills `bytes` with unpredictable random bytes of OpenSSL. Aborts the process
/// if the system gives none, because nonces and session ids must never repeat.
void FillWithRandomBytes(std::span<unsigned char> bytes);

}  // namespace mimosastage

#endif  // MIMOSASTAGE_DAEMONS_RANDOM_BYTES_H_
