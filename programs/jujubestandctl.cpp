#include <csignal>
#include <glog/logging.h>
#include <iostream>
#include <jujubestand/ctl/command.hpp>
#include <string>
#include <vector>

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    std::vector<std::string> const arguments(argv + 1, argv + argc);
    return static_cast<int>(
        jujubestand::ctl::run(arguments, std::cout, std::cerr));
}
