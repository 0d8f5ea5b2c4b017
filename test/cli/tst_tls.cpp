#include <oleandercross/cli/cli.h>
#include <oleandercross/http/server.h>

#include <catch2/catch.hpp>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <stdlib.h>

#include <filesystem>
#include <memory>
#include <sstream>

using namespace oleandercross;

namespace {

constexpr long SecondsValid = 3600;

// A temporary directory with a self-signed certificate for 127.0.0.1 and its key.
class Certificate
{
public:
    Certificate()
    {
        char name[] = "/tmp/oleandercross-tls-XXXXXX";
        m_directory = mkdtemp(name);
        const std::unique_ptr<EVP_PKEY, void (*)(EVP_PKEY *)> key(EVP_EC_gen("P-256"),
                                                                  EVP_PKEY_free);
        const std::unique_ptr<X509, void (*)(X509 *)> x509(X509_new(), X509_free);
        X509_set_version(x509.get(), X509_VERSION_3);
        X509_gmtime_adj(X509_getm_notBefore(x509.get()), -SecondsValid);
        X509_gmtime_adj(X509_getm_notAfter(x509.get()), SecondsValid);
        X509_set_pubkey(x509.get(), key.get());
        X509_NAME *subject = X509_get_subject_name(x509.get());
        X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                                   reinterpret_cast<const unsigned char *>("entry"), -1, -1, 0);
        X509_set_issuer_name(x509.get(), subject);
        X509_EXTENSION *address =
            X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, "IP:127.0.0.1");
        X509_add_ext(x509.get(), address, -1);
        X509_EXTENSION_free(address);
        X509_sign(x509.get(), key.get(), EVP_sha256());
        write(file("cert.pem"), [&](FILE *f) { PEM_write_X509(f, x509.get()); });
        write(file("key.pem"), [&](FILE *f) {
            PEM_write_PrivateKey(f, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        });
    }

    ~Certificate() { std::filesystem::remove_all(m_directory); }

    std::string file(const std::string &name) const { return m_directory + "/" + name; }

private:
    template <typename Body>
    static void write(const std::string &path, Body body)
    {
        FILE *f = fopen(path.c_str(), "w");
        body(f);
        fclose(f);
    }

    std::string m_directory;
};

int runReport(const std::string &entry, const std::string &authority, std::string &err)
{
    std::ostringstream out;
    std::ostringstream errors;
    const int status =
        cli::run({"report", "--entry", entry, "--tls-authority", authority}, {}, out, errors);
    err = errors.str();
    return status;
}

} // namespace

// Guards against sending the token to an entry whose certificate cannot be verified.
TEST_CASE("the tool verifies the certificate of an entry")
{
    const Certificate trusted;
    const Certificate other;
    http::ServerOptions options;
    options.listen = {"127.0.0.1", 0};
    options.keepAlive = absl::Seconds(1);
    options.tls = http::TlsFiles{trusted.file("cert.pem"), trusted.file("key.pem"), ""};
    http::Server server(options);
    int calls = 0;
    server.route("GET", "/v1/report", [&](const http::Request &) {
        ++calls;
        http::Response response;
        response.body = "{}";
        return response;
    });
    REQUIRE(server.start());
    const std::string entry = "127.0.0.1:" + std::to_string(server.port());
    std::string err;
    CHECK(runReport(entry, trusted.file("cert.pem"), err) == 0);
    CAPTURE(err);
    CHECK(calls == 1);
    CHECK(runReport(entry, other.file("cert.pem"), err) == 5);
    CHECK(calls == 1);
    server.stop();
}
