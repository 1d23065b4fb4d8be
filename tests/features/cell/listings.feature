Feature: Ends that workers list take effect before they are acknowledged

  Scenario: An end that is listed before the row of its job takes effect
    Guards against a task that is started again after it was done, since its end
    was acknowledged while its job was not known yet.
    Given a cell with 2 workers and 1 instances
    And a worker lists a done task of an unknown job
    When the job of the done task is submitted
    Then the other job is completed
    And no worker has started a task

  Scenario: The end of a job that is not stored is acknowledged
    Guards against ends that a worker lists for good.
    Given a cell with 1 workers and 1 instances
    And a worker lists a done task of an unknown job
    Then the worker lists no end after at most 4 s

  Scenario: Ends after the end of an unknown job take effect at once
    Guards against tasks that seem to run while one end cannot be acknowledged.
    Given a cell with 1 workers and 1 instances
    And the feed of jobs has no answers
    And a worker lists a done task of an unknown job
    When a job of 3 tasks is submitted
    Then every instance shows the job as "completed"
    And the worker still lists the end of the unknown job
