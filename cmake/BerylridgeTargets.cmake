# Defines one library per component, one binary per program and one test binary per unittests/
# folder. A component's LINK list determines which other components it may include.

function(berylridge_warnings target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor
                         -Wold-style-cast -Woverloaded-virtual -Werror)
  target_compile_definitions(${target} PRIVATE
    BERYLRIDGE_SOURCE_DIR="${CMAKE_SOURCE_DIR}" BERYLRIDGE_VERSION="${PROJECT_VERSION}")
endfunction()

# berylridge_add_library(<Component> SOURCES a.cpp... LINK libs...)
function(berylridge_add_library component)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  set(target berylridge${component})
  add_library(${target} STATIC ${ARG_SOURCES})
  target_include_directories(${target} PUBLIC ${CMAKE_SOURCE_DIR}/include)
  target_include_directories(${target} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(${target} PUBLIC ${ARG_LINK})
  berylridge_warnings(${target})
endfunction()

# berylridge_add_program(<name> SOURCES a.cpp... LINK libs...)
function(berylridge_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_LINK})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  berylridge_warnings(${name})
endfunction()

# berylridge_add_unittest(<Component> SOURCES a.cpp... LINK libs... [TIMEOUT seconds])
function(berylridge_add_unittest component)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;LINK" ${ARGN})
  set(name ${component}Tests)
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 300)
  endif()
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_LINK} GTest::gtest GTest::gtest_main)
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/unittests)
  berylridge_warnings(${name})
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
