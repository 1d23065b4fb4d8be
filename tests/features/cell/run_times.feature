Feature: Expected run times are learned from finished runs

  Scenario Outline: The expectation is closer than the declared time
    Guards against expected times that follow declarations without information,
    or that ignore good ones. The former moving average is half the declared
    time plus half the average of the queue.
    Given runs whose declared times have a log error of <error>
    And <tail> percent of them take 7 times as long
    When <count> of them have finished, of <seeds> seeds
    Then the log error of the expectation is at most <declared> of that of the declared times
    And at most <average> of that of the former moving average
    And between <low> and <high> percent end within the quantile 0.85

    Examples:
      | error | tail | count | seeds | declared | average | low | high |
      | 0.9   | 0    | 300   | 8     | 0.55     | 0.90    | 80  | 92   |
      | 0.2   | 0    | 300   | 8     | 1.02     | 0.75    | 80  | 92   |
      | 0.2   | 3    | 300   | 8     | 1.02     | 0.75    | 84  | 96   |
      | 0.9   | 3    | 300   | 8     | 0.60     | 0.95    | 80  | 94   |

  Scenario: A class whose declared times are too short by a factor is learned
    Guards against a declared time that always counts by half.
    Given runs whose declared times have a log error of 0.2
    And their declared times are too short by a factor of 4
    When 60 of them have finished, of 8 seeds
    Then the log error of the expectation is at most 0.20 of that of the declared times
    And at most 0.50 of that of the former moving average

  Scenario Outline: A sudden change of a class is learned within 20 runs
    Guards against an average that follows a change only after many runs.
    Given runs whose declared times have a log error of <error>
    And after 100 runs they take 3 times as long
    When 140 of them have finished, of 8 seeds
    Then from run 120 on the mean log error of the expectation is within <bias>

    Examples:
      | error | bias |
      | 0.2   | 0.20 |
      | 0.9   | 0.35 |

  Scenario: With few runs the declared time counts
    Guards against one odd run that replaces a good declaration.
    Given runs whose declared times have a log error of 0.2
    When 4 of them have finished, of 20 seeds
    Then the log error of the expectation is at most 1.25 of that of the declared times
    And at most 0.90 of that of the former moving average

  Scenario: Without runs the declared time is expected
    Guards against a start without learned times that differs from before.
    Given a step with a declared time of 2 s
    Then its expected time is 2.0 s
    And its quantile 0.85 is 3.0 s

  Scenario: A step without a declared time gets the time of its class
    Guards against steps without a declaration that are expected to take no time.
    Given a step with a declared time of 0 s
    Then its expected time is 0.0 s
    When runs of its class take 3 s each on 6 workers
    Then its expected time is 3.0 s

  Scenario: A class with few runs follows its queue
    Guards against steps of a new kind that are planned by wrong declarations
    although all others of their queue are known.
    Given a step with a declared time of 2 s
    When runs of another step of its queue take 4 times the declared time
    Then its expected time is between 6.5 and 8.5 s

  Scenario: Long-running tasks keep their declared time
    Guards against services that are expected to end.
    Given a long-running step with a declared time of 2 s
    When runs of another step of its queue take 4 times the declared time
    Then its expected time is 2.0 s

  Scenario: Runs outside the rack of their data do not change the expectation
    Guards against slow runs far from their data that hide the usual time.
    Given a step with a declared time of 2 s
    When runs of its class take 2 s each on 6 workers
    And runs of its class take 10 s each on 6 workers far from their data
    Then its expected time is 2.0 s
    And the factor far from the data is between 3.5 and 5.0

  Scenario: The number of classes is bounded
    Guards against callers with many queues and steps that fill the memory.
    When runs of 6000 classes have finished
    Then 4096 classes are kept
    And the learned times take at most 8 MB

  Scenario: A kept expected time is cheap
    Guards against plans of many steps that compute each expected time anew.
    Given a step with a declared time of 2 s
    When runs of its class take 3 s each on 6 workers
    Then its expected time is computed once for 1000 queries

  Scenario: A chain of steps is late by its expected times
    Guards against jobs that are planned as if they could be on time although
    runs of their steps take far longer than declared.
    Given a job of 3 steps of 2 s in a chain
    Then the chain from step 1 is expected to take 4 s
    And step 1 is on time 5 s after the job was received
    When runs of step 2 of its queue take 10 s each
    Then the chain from step 1 is expected to take 12 s
    And step 1 is late 5 s after the job was received

  Scenario: The objective is derived from the expected times
    Guards against objectives of declared times, which the true work does not
    have, and against an objective that moves while the job is open.
    Given a job of 3 steps of 2 s in a chain
    When runs of step 2 of its queue take 10 s each
    Then the objective of the job is 12.5 s
    And the objective of a job that is received now is 28.5 s

  Scenario: A job tracker derives objectives from the learned times
    Guards against a tracker of jobs that is not given the learned times.
    Given a job of 3 steps of 2 s in a chain
    When runs of step 2 of its queue take 10 s each
    Then the objective of a job that a tracker receives now is 28.5 s

  Scenario: A reservation counts a run on a slow worker for longer
    Guards against gangs that reserve capacity of a slow worker too early.
    Given a job of 3 steps of 2 s in a chain
    And runs on worker "slow" take 4 times as long as on 5 others
    Then a run of the job on worker "slow" is expected to take 5 to 9 s
    And a run of the job on worker "w1" is expected to take 1.9 to 2.3 s

  Scenario: Learned times survive their encoding
    Guards against a new leader that learns everything again. A leader uses a
    new fit only once it differs by some percent, so that its values differ.
    Given learned times of 40 classes and of runs far from their data
    When they are encoded and restored
    Then every expected time is as before within 15 percent
    And the factor far from the data is as before

  Scenario: The stored times are bounded and keep the classes with most runs
    Guards against a row that the store rejects because it is too long.
    Given learned times of 1500 classes and of runs far from their data
    When they are encoded and restored
    Then their row has at most 32768 bytes
    And the 100 classes with the most runs are kept
    And the number of runs of the kept classes is as before

  Scenario Outline: Malformed stored times lose only what was learned
    Guards against a recovery that fails because of a row that is not needed.
    When the stored times are <content>
    Then they are refused as "record-invalid" and nothing was learned

    Examples:
      | content                                                   |
      | nothing                                                   |
      | []                                                        |
      | {}                                                        |
      | {"classes": 1, "far": []}                                 |
      | {"classes": [[1, 2]], "far": []}                          |
      | {"classes": [["q", 0, true, [1, 2, 3]]], "far": []}       |
      | {"classes": [["q", 0, true, [9, 1, 1, NaN, 1, 1, 1, 1]]], "far": []} |
      | {"classes": [["q", 0, true, [9, -1, 1, 1, 1, 1, 1, 1]]], "far": []} |
      | {"classes": [["q", 0, true, [9, 0, 0, 1, 1, 1, 1, 1]]], "far": []} |
      | {"classes": [["q", "0", true, [9, 1, 1, 1, 1, 1, 1, 1]]], "far": []} |
      | {"classes": [[null, 0, true, [9, 1, 1, 1, 1, 1, 1, 1]]], "far": []} |
      | {"classes": [], "far": [["q", 1e999, 1]]}                 |
      | {"classes": [["q", 0, true, [5, 4, 0, 0.5, 0.5, 0, 1e300, 0]]], "far": []} |
      | {"classes": [["q", 0, true, [5, 1e-9, 0, 0.5, 0.5, 1, 0.1, 1]]], "far": []} |
      | {"classes": [["q", 0, true, [5, 4, 1, 900, 900, 0, 0.1, 0]]], "far": []} |

  Scenario: A new leader knows the learned run times
    Guards against a row that is not written, or not read before the jobs.
    Given a cell with 1 workers and 2 instances
    When a job of 8 tasks that are declared as 50 ms and take 900 ms completes
    Then the metrics count the errors of 8 declared and 8 learned times
    When the learned run times are stored
    And the leader ends
    Then another instance is the leader
    And it expects such a task to take 0.6 to 1.2 s

  Scenario: A malformed row of learned times does not disturb a recovery
    Guards against an election that fails again and again because of one row.
    Given a malformed row of learned run times
    And a cell with 1 workers and 1 instances that restores it
    When a job of 2 tasks is submitted
    Then every instance shows the job as "completed"
    And the row is soon replaced by a readable one

  Scenario Outline: Only whole runs teach run times
    Guards against times of runs that did a part of the work, or whose start
    this leader has not seen.
    Given a run of a step with 3 tasks that <kind>
    When it ends as <how>
    Then <count> runs have taught run times

    Examples:
      | kind                             | how     | count |
      | does all of its work             | done    | 1     |
      | does all of its work             | failed  | 0     |
      | does all of its work             | stopped | 0     |
      | does all of its work             | lapsed  | 0     |
      | resumes from saved progress      | done    | 0     |
      | was started by another leader    | done    | 0     |
      | was adopted from a listing       | done    | 0     |
      | is long-running                  | done    | 0     |
      | belongs to a gang on one rack    | done    | 1     |
      | belongs to a gang on two racks   | done    | 0     |
      | belongs to a gang that is done   | done    | 0     |
