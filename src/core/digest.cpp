#include <oleandercross/core/digest.h>

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstdlib>

namespace oleandercross::core {

namespace {

constexpr std::size_t RandomIdBytes = 16;

std::string toHex(const unsigned char *bytes, std::size_t size)
{
    return absl::BytesToHexString({reinterpret_cast<const char *>(bytes), size});
}

const unsigned char *asBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string sha256Hex(std::string_view text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr);
    return toHex(digest, size);
}

std::string hmacSha256Hex(std::string_view key, std::string_view text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), asBytes(text), text.size(), digest,
         &size);
    return toHex(digest, size);
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string randomHexId()
{
    unsigned char bytes[RandomIdBytes];
    // There is no fallback to a weaker generator, because ids must be unique.
    if (RAND_bytes(bytes, sizeof(bytes)) != 1)
        std::abort();
    return toHex(bytes, sizeof(bytes));
}

} // namespace oleandercross::core
