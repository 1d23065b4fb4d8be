Feature: An experiment measures its work and ends all of its processes

  Guards against a load tool that reports a clean run because it measured
  nothing, or that leaves processes running.

  Scenario: A run with a simple entry instance measures its work
    When an experiment runs on "single" with the flaw ""
    Then the experiment answered work and started as much as was sent
    And the experiment found no violation except repeated runs
    And the experiment left no process behind
    And the experiment's report shows its plots

  Scenario Outline: A fault of the entry instance is found
    When an experiment runs on "single" with the flaw "<flaw>"
    Then the experiment found a violation of "<field>"
    And the experiment left no process behind

    Examples:
      | flaw          | field         |
      | run-twice     | ran_twice     |
      | false-refusal | false_not_run |

  Scenario: An experiment fails if an entry instance does not start
    When an experiment runs with a program that ends at once
    Then the experiment ended with "not-ready-in-time" or "operation-failed"
    And the experiment left no process behind

  @known-red
  Scenario: An interrupted experiment stops its processes
    When an experiment is interrupted while it runs
    Then the experiment left no process behind
