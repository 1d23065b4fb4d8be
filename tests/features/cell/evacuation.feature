Feature: Nothing starts in an evacuated availability zone

  The operator evacuates a zone with a row in the store until the row is removed.

  Scenario: Every instance knows the evacuated zones from the rows
    Guards against an instance that misses a request, or the end of one.
    Given a cell with a worker in each of the zones "a b" and 2 instances
    When the operator evacuates zone "a"
    Then every instance knows the evacuated zones "a"
    When the operator evacuates zone "b"
    And the operator evacuates zone "b"
    Then every instance knows the evacuated zones "a b"
    When the operator ends the evacuation of zone "b"
    Then every instance knows the evacuated zones "a"
    When the operator ends the evacuation of zone "a"
    Then every instance knows the evacuated zones ""

  Scenario: An evacuation ends although its removal was not delivered
    Guards against a zone that stays evacuated, since the feed of the store no
    longer keeps the removal of the row.
    Given a cell with a worker in each of the zones "a b" and 2 instances
    When the operator evacuates zone "a"
    Then every instance knows the evacuated zones "a"
    When the evacuation of zone "a" ends and the store forgets its history
    Then every instance knows the evacuated zones ""

  Scenario: An evacuation behind a page of other rows is read
    Guards against a request that is on the second page of the operator's rows.
    Given a cell with a worker in each of the zones "a b" and 1 instances
    And 600 other rows before those of evacuations
    When the operator evacuates zone "a"
    And all instances are replaced by 2 new ones
    Then every instance knows the evacuated zones "a"

  Scenario: Rows that are malformed or name an unknown zone do no harm
    Guards against a request that is ignored as its content is malformed, and
    against a row that stops the following of the others.
    Given a cell with a worker in each of the zones "a b" and 2 instances
    When the operator evacuates zone "a" with malformed content
    And the operator evacuates zone "nowhere"
    And the operator evacuates zone ""
    Then every instance knows the evacuated zones "a nowhere"
    When 4 tasks are submitted to the cell
    Then the job is completed and nothing started in zone "a"
    And tasks started in zone "b"

  Scenario: Nothing of any kind is planned in an evacuated zone
    Guards against tasks, gangs or tasks that run alone that start in the zone;
    calls for advice on its workers would be useless.
    Given 4 workers with 4 cores each
    And the first 2 workers are in the evacuated zone
    And 5 waiting tasks of 1 core that take 5 s and are less urgent
    And a waiting gang of 2 members of 1 core
    And a waiting task of 1 core under which 2 workers have crashed
    And a waiting gang of a queue with advice
    When a plan is made during the evacuation
    Then 5 tasks start, none of them in the evacuated zone
    And the plan requests advice on workers, none in the evacuated zone

  Scenario: A gang reserves nothing in an evacuated zone
    Guards against reservations that hold back others for capacity that the gang
    cannot use.
    Given 3 workers with 4 cores each
    And a run of 4 cores on each worker that ends in 5 s
    And a waiting gang of 8 members of 1 core
    When a plan is made
    Then the gang holds reservations on 2 workers
    When the first 1 workers are in the evacuated zone
    And a plan is made during the evacuation
    Then the gang holds reservations on 2 workers, none in the evacuated zone
    When the first 2 workers are in the evacuated zone
    And a plan is made during the evacuation
    Then the gang holds no reservation

  Scenario: Tasks that run alone keep at most half of the remaining workers
    Guards against an evacuation after which tasks that may crash their workers
    get all workers that remain.
    Given 4 workers with 4 cores each
    And the first 2 workers are in the evacuated zone
    And 4 waiting tasks of 1 core under which 2 workers have crashed
    When a plan is made during the evacuation
    Then 1 tasks start, none of them in the evacuated zone

  Scenario: A queued call for advice leaves out the evacuated workers
    Guards against a call that was requested before the evacuation and asks
    about workers that may not be used when it is sent.
    Given 4 workers with 4 cores each
    And a waiting gang of a queue with advice
    When a plan is made
    And the first 2 workers are in the evacuated zone
    Then a call of that plan asks about 2 workers, none in the evacuated zone

  Scenario Outline: Steps whose workers are all evacuated wait for that reason
    Guards against an operator who is told that no worker has the service, or
    that capacity lacks, if an evacuation is the reason.
    Given 4 workers with 4 cores each
    And the capacity of the last worker shrinks to 1 cores
    And the first <count> workers are in the evacuated zone
    And a waiting <kind> of <cores> cores
    When a plan is made during the evacuation
    Then <tasks> tasks start, none of them in the evacuated zone
    And its wait reason is <reason>

    Examples:
      | count | kind       | cores | tasks | reason       |
      | 4     | task       | 1     | 0     | EVACUATED    |
      | 4     | gang       | 1     | 0     | EVACUATED    |
      | 4     | lone task  | 1     | 0     | EVACUATED    |
      | 3     | task       | 2     | 0     | EVACUATED    |
      | 2     | task       | 2     | 1     | STARTING     |
      | 2     | task       | 9     | 0     | NO_CAPACITY  |
      | 3     | task       | 1     | 1     | STARTING     |
