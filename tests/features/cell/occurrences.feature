Feature: Jobs whose steps run at several times keep what was done

  Scenario: A run that ends before the next leader opens its occurrence counts
    Guards against a task that is started again after it was done, since the
    end of its run is acknowledged without effect (review case 1).
    Given a cell with 1 workers and 2 instances
    When a job of 3 occurrences, 1000 ms apart, with 300 ms a task is submitted
    And a task of occurrence 1 has begun
    And the store answers no page of a table
    And the leader ends
    And the store answers pages again after 1 s
    Then the other instances show the job as "completed"
    And each of its tasks was started once

  Scenario: A run opens an occurrence that is not due on this instance's clock
    Guards against an end that has no effect, since the clock of the former
    leader was ahead.
    Given a job of 5 occurrences of which none is due
    When a worker lists a run of occurrence 3
    Then only occurrence 3 is open
    When the tasks of occurrence 3 are done
    Then the job is not complete
    And another leader that restores the job opens all occurrences but 3

  Scenario: A job is complete although its last occurrence was completed first
    Guards against a job that never ends, since nothing follows the end of the
    earlier occurrences.
    Given a job of 2 occurrences of which none is due
    When a worker lists a run of occurrence 1
    And the tasks of occurrence 1 are done
    And occurrence 0 is opened and its tasks are done
    Then the job is complete

  Scenario Outline: A run of an occurrence that cannot be opened opens none
    Guards against an odd name of a run that changes the progress of a job.
    Given a job of 2 occurrences of which none is due
    When a worker lists a run of occurrence <occurrence>
    Then no occurrence is open

    Examples:
      | occurrence |
      | 2          |
      | 999999     |
