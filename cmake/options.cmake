option(LAVENDERDALE_WERROR "Treat warnings as errors" OFF)
set(LAVENDERDALE_SANITIZERS "" CACHE STRING "Comma separated -fsanitize= list")

# Compile options of the project's own targets. PUBLIC users inherit them.
add_library(lavenderdale_options INTERFACE)
target_compile_options(lavenderdale_options INTERFACE -Wall -Wextra -Wpedantic)
# g++ 12 reports Asio's coroutine frame allocator as mismatched when it inlines it.
if(CMAKE_CXX_COMPILER_ID STREQUAL GNU)
  target_compile_options(lavenderdale_options INTERFACE -Wno-mismatched-new-delete)
endif()
if(LAVENDERDALE_WERROR)
  target_compile_options(lavenderdale_options INTERFACE -Werror)
endif()
if(LAVENDERDALE_SANITIZERS)
  target_compile_options(lavenderdale_options INTERFACE
    -fsanitize=${LAVENDERDALE_SANITIZERS} -fno-sanitize-recover=all -fno-omit-frame-pointer)
  target_link_options(lavenderdale_options INTERFACE -fsanitize=${LAVENDERDALE_SANITIZERS})
endif()
target_include_directories(lavenderdale_options INTERFACE ${PROJECT_SOURCE_DIR}/src/libs)

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  # Paths relative to the source directory let clones share cached objects.
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CMAKE_COMMAND} -E env
      CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1 ${CCACHE_PROGRAM})
endif()

# Adds a library of src/libs: lavenderdale_library(<name> SOURCES ... LINK ...).
function(lavenderdale_library Name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_library(${Name} STATIC ${ARG_SOURCES})
  target_link_libraries(${Name} PUBLIC lavenderdale_options ${ARG_LINK})
endfunction()

# Adds a Catch2 test of tests/auto: lavenderdale_test(<name> SOURCES ... LINK ...).
# The cases named by SEPARATE take long with sanitizers; they run beside the
# rest, as tests of their own. A name without a case fails.
function(lavenderdale_test Name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK;SEPARATE" ${ARGN})
  add_executable(tst_${Name} ${ARG_SOURCES})
  target_link_libraries(tst_${Name} PRIVATE lavenderdale_options testmain ${ARG_LINK})
  set(Rest "")
  foreach(Case IN LISTS ARG_SEPARATE)
    add_test(NAME "${Name}: ${Case}" COMMAND tst_${Name} -w NoTests ${Case})
    set_tests_properties("${Name}: ${Case}" PROPERTIES TIMEOUT 300)
    list(APPEND Rest "~${Case}")
  endforeach()
  add_test(NAME ${Name} COMMAND tst_${Name} -w NoTests ${Rest})
  set_tests_properties(${Name} PROPERTIES TIMEOUT 300)
endfunction()

# g++ 12 reports false uninitialized uses inside libstdc++ under the address
# sanitizer, so warnings are errors only in builds without sanitizers.
