#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <jujubestand/config/records.hpp>
#include <jujubestand/ctl/command.hpp>
#include <jujubestand/ctl/rows.hpp>
#include <jujubestand/platform/test/fake_log.hpp>
#include <sstream>
#include <thread>

namespace jujubestand::ctl
{

namespace
{

using platform::test::fake_log;

struct printed
{
    exit_code code = exit_code::done;
    std::string out;
    std::string err;
};

// The tool waits in its own loop, so the log runs beside it.
struct served_log
{
    served_log()
        : thread(
              [this]
              {
                  this->log.server.run_until(
                      [this]
                      {
                          return this->stopped.load();
                      });
              })
    {
    }

    ~served_log()
    {
        this->stopped = true;
        this->thread.join();
    }

    served_log(served_log const&) = delete;
    served_log& operator=(served_log const&) = delete;
    served_log(served_log&&) = delete;
    served_log& operator=(served_log&&) = delete;

    printed tool(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.begin(),
                         {"--author", "ann", "--timeout-ms", "2000", "--log",
                          to_text(this->log.server.where)});
        std::ostringstream out;
        std::ostringstream err;
        printed result;
        result.code = run(arguments, out, err);
        result.out = out.str();
        result.err = err.str();
        return result;
    }

    fake_log log;
    std::atomic<bool> stopped = false;
    std::thread thread;
};

} // namespace

TEST(ctl, edits_are_accepted_listed_and_kept_in_history)
{
    served_log log;
    auto const pool = log.tool({"pool", "set", "p", "upstreams=e1,e2",
                                "tail_weight=0.9", "roles=e1:prefill"});
    EXPECT_EQ(pool.code, exit_code::done) << pool.err;
    EXPECT_EQ(pool.out, "accepted as version 1\n");
    EXPECT_EQ(log.tool({"route", "set", "r", "pool=p", "idempotent=false"}).out,
              "accepted as version 2\n");
    auto const listed = json::parse(log.tool({"--json", "pool", "list"}).out);
    EXPECT_EQ(listed["version"], 2);
    EXPECT_EQ(listed["pools"][0]["roles"]["e1"], "prefill");
    EXPECT_EQ(listed["pools"][0]["tail_weight"], 0.9);
    auto const shown = json::parse(log.tool({"route", "show", "r"}).out);
    EXPECT_EQ(shown["idempotent"], false);
    auto const diff = json::parse(log.tool({"pool", "diff", "0", "1"}).out);
    EXPECT_EQ(diff["added"]["name"], "p");
    EXPECT_EQ(log.tool({"route", "delete", "r"}).code, exit_code::done);
    auto const history = log.tool({"route", "history"}).out;
    EXPECT_EQ(std::ranges::count(history, '\n'), 3);
}

TEST(ctl, a_broken_rule_is_refused_before_it_is_published)
{
    served_log log;
    auto const refused = log.tool({"route", "set", "r", "pool=none"});
    EXPECT_EQ(refused.code, exit_code::refused);
    EXPECT_NE(refused.err.find("unknown pool none"), std::string::npos);
    EXPECT_TRUE(log.log.streams["config"].records.empty());
    EXPECT_EQ(log.tool({"route", "set", "r", "deadline_ms=x"}).code,
              exit_code::usage);
    EXPECT_EQ(log.tool({"route", "set", "r", "wrong=1"}).code,
              exit_code::usage);
}

TEST(ctl, the_loser_of_a_race_is_told_who_won)
{
    served_log log;
    log.tool({"pool", "set", "p"});
    // A rival's edit lands just before ours.
    log.log.before_append = [&log]
    {
        config::edit rival;
        rival.base = log_offset(1);
        rival.author = "bob";
        rival.changes = {config::change{}};
        rival.changes[0].kind = config::change_kind::set_pool;
        rival.changes[0].pool_row.id = pool_id("q");
        log.log.append("config", config::pack(rival));
        log.log.before_append = nullptr;
    };
    auto const lost = log.tool({"pool", "set", "p", "tail_weight=0.1"});
    EXPECT_EQ(lost.code, exit_code::conflict);
    EXPECT_NE(lost.err.find("by bob"), std::string::npos) << lost.err;
}

TEST(ctl, an_accepted_edit_is_told_its_own_version)
{
    served_log log;
    log.log.after_append = [&log]
    {
        config::edit next;
        next.base = log_offset(1);
        next.changes = {config::change{}};
        next.changes[0].kind = config::change_kind::set_pool;
        next.changes[0].pool_row.id = pool_id("q");
        log.log.append("config", config::pack(next));
        log.log.after_append = nullptr;
    };
    EXPECT_EQ(log.tool({"pool", "set", "p"}).out, "accepted as version 1\n");
}

TEST(ctl, a_lost_answer_is_read_back)
{
    served_log log;
    log.log.lose_answers = true;
    EXPECT_EQ(log.tool({"pool", "set", "p"}).code, exit_code::done);
}

TEST(ctl, exported_tables_can_be_restored)
{
    served_log log;
    log.tool({"pool", "set", "p"});
    log.tool({"route", "set", "r", "pool=p"});
    std::string const path = testing::TempDir() + "jujubestand-tables.json";
    std::ofstream(path) << log.tool({"tables", "export"}).out;
    log.log.truncate("config", 2);
    EXPECT_EQ(log.tool({"route", "list"}).code, exit_code::refused);
    EXPECT_EQ(log.tool({"tables", "restore", path}).out,
              "restored as version 3\n");
    EXPECT_EQ(log.tool({"route", "show", "r"}).code, exit_code::done);
    std::remove(path.c_str());
}

TEST(ctl, usage_help_and_an_unreachable_log_have_codes)
{
    std::ostringstream out;
    std::ostringstream err;
    EXPECT_EQ(run({"--help"}, out, err), exit_code::done);
    EXPECT_NE(out.str().find("route set NAME"), std::string::npos);
    EXPECT_NE(out.str().find("  3  somebody"), std::string::npos);
    EXPECT_EQ(run({"--version"}, out, err), exit_code::done);
    EXPECT_EQ(run({"nonsense"}, out, err), exit_code::usage);
    EXPECT_EQ(run({"--nonsense"}, out, err), exit_code::usage);
    EXPECT_EQ(run({"--log", "x", "route", "list"}, out, err), exit_code::usage);
    auto const closed = to_text(platform::test::fake_server().where);
    EXPECT_EQ(run({"--timeout-ms", "200", "--log", closed, "route", "list"},
                  out, err),
              exit_code::unreachable);
}

} // namespace jujubestand::ctl
