#include "tests/system/support/http.h"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>

namespace mimosastage::testing {
namespace {

std::size_t AppendBody(char* data, std::size_t size, std::size_t count,
                       void* target) {
  static_cast<Reply*>(target)->body.append(data, size * count);
  return size * count;
}

std::size_t ReadHeader(char* data, std::size_t size, std::size_t count,
                       void* target) {
  const std::string line(data, size * count);
  if (const auto colon = line.find(':'); colon != std::string::npos) {
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const auto first = line.find_first_not_of(' ', colon + 1);
    const auto last = line.find_last_not_of("\r\n ");
    if (first != std::string::npos && last >= first) {
      static_cast<Reply*>(target)->headers[name] =
          line.substr(first, last - first + 1);
    }
  }
  return size * count;
}

}  // namespace

Reply Send(const ClientRequest& request) {
  Reply reply;
  CURL* handle = curl_easy_init();
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  for (const std::string& header : request.headers) {
    headers = curl_slist_append(headers, header.c_str());
  }
  curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.timeout.count()));
  if (!request.body.empty() || request.method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(request.body.size()));
  }
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &reply);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, ReadHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &reply);
  if (curl_easy_perform(handle) == CURLE_OK) {
    long status = 0;  // NOLINT(google-runtime-int): libcurl's type.
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
  }
  curl_slist_free_all(headers);
  curl_easy_cleanup(handle);
  return reply;
}

}  // namespace mimosastage::testing
