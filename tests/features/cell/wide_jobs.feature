Feature: The progress of a job of any size fits into rows of the store

  Scenario: Ends of a job with many tasks are not lost
    Guards against ends that are acknowledged although the progress of their job
    is larger than a row may be, so that the next leader repeats the tasks
    (review case 3).
    Given a cell with 2 workers and 2 instances
    And tasks that save 200 bytes of progress
    When a job of 600 tasks of which 50 are done is submitted
    And the leader ends after these ends were acknowledged
    Then no done task of the job is started again in 2 s

  Scenario Outline: Progress survives a change of the leader
    Guards against progress that is lost or restored to other tasks.
    Given a job of <occurrences> occurrences with <tasks> tasks each
    When some of its tasks are done, have failed or have saved progress
    And another leader restores it from the stored rows
    Then it has the same progress
    And no row is larger than the store accepts

    Examples:
      | occurrences | tasks |
      | 1           | 1     |
      | 1           | 200   |
      | 1           | 201   |
      | 1           | 10000 |
      | 100         | 2     |
      | 100         | 3     |
      | 100         | 450   |

  Scenario: Long saved progress is left out of a row that it does not fit into
    Guards against a row that the store refuses.
    Given a job of 1 occurrences with 150 tasks each
    When each task has saved 1000 bytes of progress and some are done
    And another leader restores it from the stored rows
    Then the same tasks are done
    And no row is larger than the store accepts

  Scenario: Rows of completed occurrences are removed after the first row
    Guards against tasks that start again, and against rows that stay for good.
    Given a job of 3 occurrences with 300 tasks each
    When the tasks of its first occurrence are done
    Then the rows of the first occurrence are removed
    And another leader restores the job without its first occurrence
    When the job is archived
    Then no row of its progress is left

  Scenario: An occurrence is not repeated if its rows are removed first
    Guards against a leader that ends between two transactions.
    Given a job of 3 occurrences with 300 tasks each
    And the store rejects the first row of its progress
    When the tasks of its first occurrence are done
    Then the rows of the first occurrence are not removed

  Scenario: Progress that an earlier version stored in one row is kept
    Guards against tasks that run again after an upgrade.
    Given a job of 1 occurrences with 300 tasks each
    And an earlier version has stored in one row that 7 of its tasks are done
    When another leader restores it from the stored rows
    And another leader restores it from the stored rows
    Then 7 of its tasks are done
    And its progress is stored in 3 rows

  Scenario: Progress that was stored before the first row of its job counts
    Guards against a job that never runs, or runs done tasks again, if the leader
    ends between two transactions.
    Given a job of 2 occurrences with 300 tasks each
    When 5 tasks of its last occurrence are done and only their row is stored
    And another leader restores it from the stored rows
    Then 5 tasks of its last occurrence are done
    And all its occurrences are open

  Scenario: A gang is done if one of its rows says so
    Guards against a gang that runs again, as a part of its rows was stored.
    Given a gang of 500 members
    When one member is done and only its row is stored
    And another leader restores it from the stored rows
    Then all members of the gang are done

  Scenario: Failures of a task that lasts take no space
    Guards against a row that grows with each failure.
    Given a cell with 1 workers and 1 instances
    When a task that lasts has failed 20 times
    Then its stored progress has no failures

  Scenario: A job whose record does not fit into a row is rejected at once
    Guards against callers that repeat a job which can never be stored.
    Given a cell with 1 workers and 1 instances
    When a job with labels of 60000 bytes is submitted
    Then the submission is rejected with 413

  Scenario: A job that could not be cancelled is rejected
    Guards against a job whose record grows beyond the row by its cancellation.
    Given a cell with 1 workers and 1 instances
    When a job whose record fits exactly is submitted
    Then the submission is rejected with 413
