# Declares one package: the library lycheelanding-<name> built from src/, its public headers
# in include/, and one test program built from tests/.
#
# lycheelanding_package(<name> [DEPENDS <libraries>...] [TEST_DEPENDS <libraries>...])
function(lycheelanding_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  set(target lycheelanding-${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    target_include_directories(${target} PUBLIC include PRIVATE src)
    target_link_libraries(${target} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE include)
    target_link_libraries(${target} INTERFACE ${ARG_DEPENDS})
  endif()

  file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  if(LYCHEELANDING_TESTS AND tests)
    add_executable(${name}-tests ${tests})
    target_include_directories(${name}-tests PRIVATE src tests)
    target_link_libraries(${name}-tests PRIVATE ${target} ${ARG_TEST_DEPENDS} rapidcheck GTest::gtest GTest::gtest_main)
    lycheelanding_discover_tests(${name}-tests)
  endif()
endfunction()

# Registers the GoogleTest cases of a program with CTest, with the fixed RapidCheck seed that CI uses.
function(lycheelanding_discover_tests target)
  gtest_discover_tests(${target}
    TEST_PREFIX "${target}."
    DISCOVERY_TIMEOUT 60
    PROPERTIES ENVIRONMENT "RC_PARAMS=seed=${LYCHEELANDING_FUZZ_SEED}" TIMEOUT 300 ${ARGN})
endfunction()
