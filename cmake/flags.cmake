add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Wconversion
    -Wnon-virtual-dtor -Werror)
if(JUJUBESTAND_SANITIZE)
    # Checked code without any optimization is too slow for tests with timeouts.
    set(CMAKE_CXX_FLAGS_DEBUG "-g -O1")
    add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all
        -fno-omit-frame-pointer)
    add_link_options(-fsanitize=address,undefined)
endif()
if(JUJUBESTAND_FUZZ)
    add_compile_options(-fsanitize=fuzzer-no-link,address,undefined
        -fno-sanitize-recover=all)
    add_link_options(-fsanitize=address,undefined)
endif()
