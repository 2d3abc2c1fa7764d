#include <jujubestand/link/handshake.hpp>

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <string_view>

namespace jujubestand::link
{

namespace
{

// Two labels keep a peer from sending our own proof back as its own.
constexpr std::string_view opener_label = "jujubestand link opener";
constexpr std::string_view acceptor_label = "jujubestand link acceptor";

std::string mac_of(handshake const& state, std::string_view label)
{
    // msgpack puts lengths before texts, so no two transcripts are alike.
    msgpack::sbuffer transcript;
    msgpack::pack(transcript, std::string(label));
    msgpack::pack(transcript, *state.first);
    msgpack::pack(transcript, *state.second);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), state.key.data(), static_cast<int>(state.key.size()),
         reinterpret_cast<unsigned char const*>(transcript.data()),
         transcript.size(), digest.data(), &length);
    return {reinterpret_cast<char const*>(digest.data()), length};
}

bool is_mac(handshake const& state, std::string_view label,
            std::string const& claimed)
{
    std::string const expected = mac_of(state, label);
    return claimed.size() == expected.size() &&
           CRYPTO_memcmp(claimed.data(), expected.data(), expected.size()) == 0;
}

handshake_step refuse(reason& why, std::string text)
{
    why = reason{reason_code::link_refused, std::move(text), ""};
    return {true, std::nullopt};
}

handshake_step take_hello(handshake& state, frame const& message, reason& why)
{
    auto first = from_frame<hello>(message, why);
    if (!first)
        return refuse(why, why.text);
    if (first->version != protocol_version)
        return refuse(why, "peer speaks protocol version " +
                               std::to_string(first->version));
    if (first->nonce.size() != nonce_bytes)
        return refuse(why, "nonce of the wrong length");
    state.first = std::move(first);
    state.second = challenge{state.nonce, state.self};
    return {false, to_frame(*state.second)};
}

handshake_step take_challenge(handshake& state, frame const& message,
                              reason& why)
{
    auto second = from_frame<challenge>(message, why);
    if (!second)
        return refuse(why, why.text);
    if (second->nonce.size() != nonce_bytes)
        return refuse(why, "nonce of the wrong length");
    state.second = std::move(second);
    return {false, to_frame(proof{mac_of(state, opener_label)})};
}

handshake_step take_proof(handshake& state, frame const& message, reason& why)
{
    auto const claimed = from_frame<proof>(message, why);
    if (!claimed)
        return refuse(why, why.text);
    if (!is_mac(state, opener_label, claimed->mac))
        return refuse(why, "peer does not hold our key");
    state.proved = state.first->self;
    return {false, to_frame(welcome{mac_of(state, acceptor_label)})};
}

handshake_step take_welcome(handshake& state, frame const& message, reason& why)
{
    auto const claimed = from_frame<welcome>(message, why);
    if (!claimed)
        return refuse(why, why.text);
    if (!is_mac(state, acceptor_label, claimed->mac))
        return refuse(why, "peer does not hold our key");
    state.proved = state.second->self;
    return {};
}

} // namespace

frame begin(handshake& state)
{
    state.first = hello{protocol_version, state.nonce, state.self};
    return to_frame(*state.first);
}

handshake_step step(handshake& state, frame const& message, reason& why)
{
    if (state.key.empty())
        return refuse(why, "no shared key is set");
    if (state.proved)
        return refuse(why, "frame after the end of the handshake");
    if (state.is_opener)
        return state.second ? take_welcome(state, message, why)
                            : take_challenge(state, message, why);
    return state.first ? take_proof(state, message, why)
                       : take_hello(state, message, why);
}

} // namespace jujubestand::link
