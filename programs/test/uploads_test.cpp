#include <algorithm>
#include <programs/test/gateways_fixture.hpp>
#include <standins/service/endless_peer.hpp>

// Large bodies of callers while the services that they are for are silent.
namespace jujubestand::programs::test
{

namespace
{

class uploads : public gateways_test
{
protected:
    answer_ptr upload(std::size_t bytes)
    {
        http1::client_request request;
        request.server = this->gateways[0].callers;
        request.method = "POST";
        request.target = "/book/new";
        request.fields = fields_of({"upload", "", "", "/book/new"});
        request.body = std::string(bytes, 'p');
        return start_call(this->caller, std::move(request));
    }
};

} // namespace

// The bodies of calls that waited for silent services took more memory than the
// machine has: the gateway was killed, with the calls to sound ones (LOST).
TEST_F(uploads, bodies_for_silent_services_leave_memory_for_other_calls)
{
    constexpr std::uint64_t megabyte = 1'000'000;
    constexpr std::uint64_t memory_megabytes = 60;
    constexpr std::size_t count = 30;
    constexpr std::size_t silent_service = 200;
    this->more_bounds =
        "[limits]\nmemory-mb = " + std::to_string(memory_megabytes) + "\n";
    this->start_gateways(1);
    this->add_engine("v1", near);
    standins::endless_peer const silent(
        this->base.get(), address{host(silent_service), 0}, "", "");
    this->add_service("silent", silent.bound());
    this->wait_ready();
    std::vector<answer_ptr> answers;
    for (std::size_t number = 0; number < count; ++number)
        answers.push_back(this->upload(4 * megabyte));
    auto const is_refused = [&]
    {
        return std::any_of(answers.begin(), answers.end(),
                           [](answer_ptr const& answer)
                           {
                               return answer->status == HTTP_SERVUNAVAIL;
                           });
    };
    EXPECT_TRUE(this->run_until(is_refused));
    auto const sound = this->ask(0, {"sound", "", ""});
    EXPECT_TRUE(this->run_to_end(sound));
    EXPECT_EQ(sound->status, HTTP_OK);
    for (auto const& answer : answers)
    {
        EXPECT_TRUE(this->run_to_end(answer));
        if (answer->status == HTTP_SERVUNAVAIL)
        {
            EXPECT_NE(answer->field("Retry-After"), "");
        }
    }
    auto const peak = this->gateways[0].process->usage().peak_resident_bytes;
    RecordProperty("peak_mb", static_cast<int>(peak / megabyte));
#if !defined(__SANITIZE_ADDRESS__)
    EXPECT_LT(peak, memory_megabytes * megabyte);
#endif
}

} // namespace jujubestand::programs::test
