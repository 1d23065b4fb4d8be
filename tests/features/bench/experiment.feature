Feature: An experiment runs, is judged and leaves nothing behind

  Guards against a tool that reports a clean run because it measured nothing,
  or that leaves processes behind.

  Scenario: A run over a simple entry instance measures its work
    When an experiment runs on "single" with the flaw ""
    Then the experiment answered work and started as much as was sent
    And the experiment's judge found nothing
    And the experiment left no process behind
    And the experiment's report shows its plots

  Scenario Outline: A flaw of the entry instance is found
    When an experiment runs on "single" with the flaw "<flaw>"
    Then the experiment's judge found "<field>"
    And the experiment left no process behind

    Examples:
      | flaw          | field         |
      | run-twice     | ran_twice     |
      | false-refusal | false_not_run |

  Scenario: An entry instance that does not start ends the experiment
    When an experiment runs with a program that ends at once
    Then the experiment ended with "not-ready-in-time" or "operation-failed"
    And the experiment left no process behind

  @known-red
  Scenario: An interrupted experiment stops its processes
    When an experiment is interrupted while it runs
    Then the experiment left no process behind
