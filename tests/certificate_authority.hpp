#pragma once

#include "peer_link.hpp"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>

/// Needs the definition BINARY_DIR (see CMakeLists.txt).
namespace bramleymux::test
{

/// Certificate authority that issues the certificates of a test.
class authority
{
public:
    explicit authority(const std::string& name)
        : directory_(std::filesystem::path(BINARY_DIR) / ("tls-" + name)),
          key_(EVP_EC_gen("P-256"), EVP_PKEY_free),
          certificate_(make_certificate(name, key_.get(), nullptr), X509_free)
    {
        std::filesystem::create_directories(directory_);
        write_certificate(path("ca.pem"), certificate_.get());
    }

    tls_files
    issue(const std::string& name, const std::string& signer = "own")
    {
        const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(
            EVP_EC_gen("P-256"), EVP_PKEY_free);
        const std::unique_ptr<X509, decltype(&X509_free)> certificate(
            make_certificate(name, key.get(), signer == "own" ? this : nullptr),
            X509_free);
        tls_files files{
            path(name + ".pem"), path(name + ".key"), path("ca.pem")};
        write_certificate(files.certificate_file, certificate.get());
        FILE* file = std::fopen(files.key_file.c_str(), "w");
        PEM_write_PrivateKey(
            file, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(file);
        return files;
    }

private:
    std::string
    path(const std::string& name) const
    {
        return (directory_ / name).string();
    }

    static void
    write_certificate(const std::string& path, X509* certificate)
    {
        FILE* file = std::fopen(path.c_str(), "w");
        PEM_write_X509(file, certificate);
        std::fclose(file);
    }

    /// Returns a certificate that the caller owns; self-signed if `issuer` is
    /// null.
    static X509*
    make_certificate(
        const std::string& name, EVP_PKEY* key, const authority* issuer)
    {
        static long serial = 1;
        X509* out = X509_new();
        X509_set_version(out, 2);
        ASN1_INTEGER_set(X509_get_serialNumber(out), ++serial);
        X509_gmtime_adj(X509_getm_notBefore(out), -3600);
        X509_gmtime_adj(X509_getm_notAfter(out), 3600);
        X509_set_pubkey(out, key);
        X509_NAME* subject = X509_get_subject_name(out);
        X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
            reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
        X509_set_issuer_name(
            out, issuer ? X509_get_subject_name(issuer->certificate_.get())
                        : subject);
        X509_EXTENSION* constraint = X509V3_EXT_conf_nid(nullptr, nullptr,
            NID_basic_constraints, issuer ? "CA:FALSE" : "critical,CA:TRUE");
        X509_add_ext(out, constraint, -1);
        X509_EXTENSION_free(constraint);
        X509_sign(out, issuer ? issuer->key_.get() : key, EVP_sha256());
        return out;
    }

    std::filesystem::path directory_;
    std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key_;
    std::unique_ptr<X509, decltype(&X509_free)> certificate_;
};

} // namespace bramleymux::test
