Feature: Log lines are structured, bounded and never block

  Scenario: A reader that stops reading does not stop the program
    Guards against a process that blocks on a full pipe.
    Given a log that goes to a pipe without a reader
    When 20000 events are logged
    Then all calls returned
    When the pipe is read to its end
    Then every line is JSON with time, instance, part and event
    And a line states how many were dropped or suppressed

  Scenario: A job is explained from the log lines of several processes
    Guards against an explanation that depends on the order of files.
    Given log lines of two processes about a job, unordered and mixed with others
    When the job is explained
    Then its lines are ordered by time
    And 1 line is counted as unreadable
    And the cause names the workers on which the job failed

  Scenario: A job under which workers crashed is explained
    Guards against a job that is given up without a visible reason.
    Given log lines about a job that was given up after crashes
    When the job is explained
    Then the cause names the crashed workers

  Scenario: A refused request is explained
    Guards against refusals whose reason is not in the log.
    Given a log line about a refused request of a job
    When the job is explained
    Then the cause states that the job was never accepted and why

  Scenario: A step that waited is explained
    Guards against a delay whose reason is not in the explanation.
    Given log lines about a step that waited 8 s because it "does not fit"
    When the job is explained
    Then the cause states that the step waited 8 s because it "does not fit"

  Scenario: A refusal is logged with the status that the caller got
    Guards against a log that contradicts the answer to the caller.
    Given a cell with 1 workers and 1 instances
    When the state of a job is queried while the store sends malformed answers
    Then the caller gets 503 and the log of the refusal says so

  Scenario: A run that took far longer than expected is named
    Guards against a delay by a wrong expectation that no cause mentions.
    Given log lines about a run that took 9 s instead of the expected 3 s
    When the job is explained
    Then the cause names the run, its expected time and where that comes from
