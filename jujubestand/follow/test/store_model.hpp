#ifndef JUJUBESTAND_FOLLOW_TEST_STORE_MODEL_HPP
#define JUJUBESTAND_FOLLOW_TEST_STORE_MODEL_HPP

#include <algorithm>
#include <array>
#include <functional>
#include <gtest/gtest.h>
#include <jujubestand/follow/topic.hpp>
#include <random>
#include <utility>

// Model, without a network, of a store that returns from older copies, and of
// the processes that read it and exchange what they know.
namespace jujubestand::follow::test
{

inline mono_time at(int ms)
{
    return mono_time{std::chrono::milliseconds{ms}};
}

inline std::optional<value_version> stated_version(record const& row)
{
    return value_version{std::stoull(row.value), 0};
}

/// \brief A write that the store holds; the version of a removal is that of
/// the removed value.
struct written
{
    record row;
    std::uint64_t version = 0;
    mono_time time;
};

/// \brief A process with a copy, its calls under way, and what it knew.
struct process
{
    topic copy;
    int generation = 0;
    bool is_reading = false;
    bool is_fetching = false;
    bool needs_list = false;
    /// Highest version of each key's value since the key was last absent.
    std::map<std::string, std::uint64_t> highest{};
};

/// \brief The store, its writers, and processes that follow it.
struct model
{
    std::mt19937 random;
    bool keeps_lost_keys;
    bool peers_restart_in_fetches = false;
    int now = 0;
    std::uint64_t era = 1;
    std::vector<written> log{};
    std::size_t copied = 0;
    /// Newest state of each key by its owner; an empty value: removed.
    std::map<std::string, written> owned{};
    /// Versions of the last values of keys that were removed.
    std::map<std::string, std::uint64_t> removed{};
    std::set<std::string> lost{};
    std::array<process, 4> processes{};
    /// Messages under way, delivered in random order.
    std::vector<std::function<void()>> messages{};
    std::size_t fetches = 0;

    model(unsigned seed, bool keeps)
        : random(seed)
        , keeps_lost_keys(keeps)
    {
        for (auto& each : this->processes)
            this->restart(each);
    }

    std::size_t draw(std::size_t below)
    {
        return this->random() % below;
    }

    void restart(process& each)
    {
        each = process{{}, each.generation + 1};
        each.copy.version_of = stated_version;
        each.copy.keeps_lost_keys = this->keeps_lost_keys;
    }

    void append(written entry)
    {
        entry.row.offset = this->log.size();
        entry.time = at(this->now);
        this->log.push_back(std::move(entry));
    }

    void write()
    {
        auto const key = std::string(1, static_cast<char>('a' + draw(5)));
        auto& entry = this->owned[key];
        bool const is_removal =
            !this->keeps_lost_keys && !entry.row.value.empty() && draw(4) == 0;
        if (is_removal)
            this->removed[key] = entry.version;
        else
            ++entry.version;
        entry.row.key = key;
        entry.row.value = is_removal ? "" : std::to_string(entry.version);
        this->lost.erase(key);
        this->append(entry);
    }

    void write_again()
    {
        if (this->lost.empty())
            return;
        auto const key = *this->lost.begin();
        this->lost.erase(key);
        this->append(this->owned.at(key));
    }

    void return_from_copy()
    {
        for (auto at = this->copied; at < this->log.size(); ++at)
            this->lost.insert(this->log[at].row.key);
        this->log.resize(std::min(this->copied, this->log.size()));
        ++this->era;
    }

    std::map<std::string, written> newest(mono_time before) const
    {
        std::map<std::string, written> result;
        for (auto const& entry : this->log)
            if (entry.time < before)
                result[entry.row.key] = entry;
        return result;
    }

    listing listed() const
    {
        listing result{{}, this->log.size(), true, this->era};
        for (auto const& [key, entry] : this->newest(mono_time::max()))
            if (!entry.row.value.empty())
                result.records.push_back(entry.row);
        return result;
    }

    /// \brief Sends a message to a process; lost if it has restarted.
    void send(process& to, std::function<void()> act)
    {
        this->messages.push_back(
            [&to, act = std::move(act), generation = to.generation]
            {
                if (to.generation == generation)
                    act();
            });
    }

    void read(process& each)
    {
        if (std::exchange(each.is_reading, true))
            return;
        auto const time = at(this->now);
        if (each.needs_list || !each.copy.is_listed)
        {
            this->send(each,
                       [&each, list = this->listed(), time]
                       {
                           each.is_reading = each.needs_list = false;
                           on_listing(each.copy, list, time);
                       });
            return;
        }
        read_page page{{}, this->log.size(), this->era};
        auto const limit = std::min<std::size_t>(page.end, each.copy.next + 3);
        for (auto from = each.copy.next; from < limit; ++from)
            page.records.push_back(this->log[from].row);
        bool const is_gone = each.copy.next > page.end;
        this->send(each,
                   [&each, page, time, is_gone]
                   {
                       each.is_reading = false;
                       if (is_gone || has_returned(each.copy, page.era))
                           each.needs_list = true;
                       else
                           on_page(each.copy, page, time);
                   });
    }

    // The request reaches the peer some time after its status.
    void fetch(process& each, process& peer, std::uint64_t since,
               mono_time proven_at, int generation)
    {
        if (std::exchange(each.is_fetching, true))
            return;
        ++this->fetches;
        auto answer = [this, &each, &peer, since, proven_at, generation]
        {
            bool const is_lost = !this->peers_restart_in_fetches &&
                                 peer.generation != generation;
            this->send(each,
                       [&each, list = changes_since(peer.copy, since), since,
                        proven_at, is_lost]
                       {
                           each.is_fetching = false;
                           if (!is_lost)
                               on_peer_records(each.copy, list, since,
                                               proven_at);
                       });
        };
        this->send(each, answer);
    }

    // Compares copies as gateways do.
    void exchange(process& each, process& peer)
    {
        if (&each == &peer || !peer.copy.current_as_of)
            return;
        auto compare = [this, &each, &peer, sent = peer.copy,
                        generation = peer.generation,
                        keys = live_keys(peer.copy),
                        unrestored = unrestored_versions(peer.copy)]
        {
            auto const proven_at = *sent.current_as_of;
            auto const& known = each.copy;
            bool const is_same_era = sent.era == known.era;
            bool const is_whole =
                !known.is_listed || has_returned(known, sent.era) ||
                (is_same_era &&
                 ((sent.next == known.next && keys != live_keys(known)) ||
                  (this->keeps_lost_keys && lacks_any(known, unrestored))));
            if (is_whole || (is_same_era && sent.next > known.next))
                this->fetch(each, peer, is_whole ? 0 : known.next, proven_at,
                            generation);
            else
                on_confirmation(each.copy, sent.era, sent.next, proven_at);
        };
        this->send(each, compare);
    }

    void deliver()
    {
        if (this->messages.empty())
            return;
        std::swap(this->messages[draw(this->messages.size())],
                  this->messages.back());
        auto const act = std::move(this->messages.back());
        this->messages.pop_back();
        act();
    }

    void check(process& each)
    {
        std::map<std::string, std::uint64_t> versions;
        for (auto const& [key, row] : each.copy.newest)
            if (!row.value.empty())
                versions[key] = std::stoull(row.value);
        for (auto const& [key, version] : versions)
            EXPECT_GE(version, each.highest[key]) << key << " went back";
        each.highest = versions;
        if (!each.copy.current_as_of)
            return;
        for (auto const& [key, entry] : this->newest(*each.copy.current_as_of))
        {
            bool const is_present = versions.contains(key);
            bool const was_removed = this->removed.contains(key) &&
                                     this->removed[key] >= entry.version;
            bool const is_covered =
                entry.row.value.empty()
                    ? !is_present || versions[key] > entry.version
                    : (is_present ? versions[key] >= entry.version
                                  : was_removed);
            EXPECT_TRUE(is_covered) << key << " " << entry.version;
        }
    }

    void step()
    {
        ++this->now;
        auto& each = this->processes[draw(this->processes.size())];
        auto& peer = this->processes[draw(this->processes.size())];
        auto const choice = draw(100);
        if (choice < 10)
            this->write();
        else if (choice < 15)
            this->write_again();
        else if (choice < 17)
            this->copied = this->log.size();
        else if (choice < 19)
            this->return_from_copy();
        else if (choice < 21)
            this->restart(each);
        else if (choice < 36)
            this->read(each);
        else if (choice < 51)
            this->exchange(each, peer);
        else
            this->deliver();
        for (auto& checked : this->processes)
            this->check(checked);
    }

    void exchange_all()
    {
        for (auto& each : this->processes)
        {
            ++this->now;
            this->read(each);
            for (auto& peer : this->processes)
                this->exchange(each, peer);
        }
        while (!this->messages.empty())
            this->deliver();
        for (auto& checked : this->processes)
            this->check(checked);
    }
};

} // namespace jujubestand::follow::test

#endif
