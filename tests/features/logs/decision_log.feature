Feature: Log lines are structured, bounded and never block

  Scenario: A reader that stops reading does not stop the program
    Guards against a process that hangs on a full pipe.
    Given logs that go to a pipe that nobody reads
    When 20000 decisions are logged
    Then all calls returned
    When the pipe is read to its end
    Then every line is JSON with time, instance, part and event
    And a line tells how many were dropped or summed up

  Scenario: The story of a job is told from lines of several processes
    Guards against an explanation that depends on the order of files.
    Given lines of two processes about a job, unordered and mixed with others
    When the story of the job is told
    Then its lines are in the order of their times
    And 1 line is counted as unreadable
    And the cause names the workers on which it failed

  Scenario: A refused request is explained
    Guards against refusals whose reason is not in the logs.
    Given a line about a refused request of a job
    When the story of the job is told
    Then the cause says that it was never accepted and why
