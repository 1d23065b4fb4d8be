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

  Scenario: Running tasks continue in an evacuated zone of the leader
    Guards against lost work, and against a leader that gives up since its own
    zone is evacuated.
    Given a cell with a worker in each of the zones "a b" and 2 instances
    And zone "a" is used first
    When a job with the payload "ms=1500" is submitted and has begun
    And the operator evacuates zone "a"
    And another job of 8 tasks is submitted after all instances know it
    Then the other job is completed
    And every instance shows the job as "completed"
    And each of its tasks was started once
    And nothing has started in zone "a" since the request was known
    And the first election is the only one

  Scenario: Only zones that are still evacuated get nothing
    Guards against two evacuations of which one ends the other.
    Given a cell with a worker in each of the zones "a b c" and 2 instances
    When the operator evacuates zone "a"
    And the operator evacuates zone "b"
    And the operator ends the evacuation of zone "b"
    Then every instance knows the evacuated zones "a"
    When the operator evacuates zone "c"
    Then every instance knows the evacuated zones "a c"
    When 4 tasks are submitted to the cell
    Then the job is completed and nothing started in zone "a"
    And tasks started in zone "b"

  Scenario: Jobs wait while all zones of their service are evacuated
    Guards against jobs that fail since no worker may be used.
    Given a cell with a worker in each of the zones "a b" and 2 instances
    When the operator evacuates zone "a"
    And the operator evacuates zone "b"
    Then every instance knows the evacuated zones "a b"
    When 4 tasks are submitted to the cell
    Then the job waits as its zones are evacuated
    When the operator ends the evacuation of zone "b"
    Then the job is completed and nothing started in zone "a"

  Scenario: A restart right after the request starts nothing in the zone
    Guards against a request that only the memory of the instances holds.
    Given a cell with a worker in each of the zones "a b" and 2 instances
    When the operator evacuates zone "a"
    And all instances are replaced by 2 new ones
    And 4 tasks are submitted to the cell
    Then the job is completed and nothing started in zone "a"

  Scenario: The next leader starts nothing in the zone
    Guards against a leader that ends between the request and its effect, and
    whose successor plans by what it knew before.
    Given a cell with a worker in each of the zones "a b" and 2 instances
    When a job that fills both zones for long is submitted
    And the operator evacuates zone "a" at the moment at which the leader ends
    Then another instance is the leader
    And the job is completed, with nothing started in zone "a" since the request

  Scenario: A leader that was paused starts nothing in the zone
    Guards against starts that a leader sends before it knows what has changed
    during its pause.
    Given a cell with a worker in each of the zones "a b" and 1 instances
    When a job that fills both zones for long is submitted
    And the operator evacuates zone "a" and all is paused for 3 s
    Then the job is completed, with nothing started in zone "a" since the request

  Scenario: A leader that is cut off from the store starts nothing in the zone
    Guards against a former leader that goes on starting in a zone whose
    evacuation it cannot read.
    Given a cell with a worker in each of the zones "a b" and 2 instances
    When a job that fills both zones for long is submitted
    And the operator evacuates zone "a" at the moment at which the leader is cut off from the store
    Then nothing starts in zone "a" from 5 s after the request on
    And the other instances show the job as "completed"

  Scenario: A start without an answer is not repeated in an evacuated zone
    Guards against commands that are repeated for seconds after the request.
    Given a cell with a worker in each of the zones "a b" and 1 instances
    And zone "a" is used first
    And the worker in zone "a" loses all starts
    When 1 tasks are submitted to the cell
    And a start was lost
    And the operator evacuates zone "a"
    Then no further start is sent to zone "a"
    And the job is completed and nothing started in zone "a"

  Scenario: A start is not repeated while evacuations are unconfirmed
    Guards against commands that are repeated in a zone whose evacuation this
    leader alone does not get to know.
    Given a cell with a worker in each of the zones "a b" and 1 instances
    And zone "a" is used first
    And the worker in zone "a" loses all starts
    When 1 tasks are submitted to the cell
    And a start was lost
    And the configuration is withheld from the instances
    And the operator evacuates zone "a"
    And 3 s pass
    Then no further start is sent to zone "a" within 2 s
    When the configuration is no longer withheld
    Then the job is completed and nothing started in zone "a"

  Scenario: A start whose worker does not answer any more is not repeated
    Guards against a start that is sent as soon as an unreachable zone answers
    again during its evacuation.
    Given a cell with a worker in each of the zones "a b" and 1 instances
    And zone "a" is used first
    And the worker in zone "a" loses all starts
    When 1 tasks are submitted to the cell
    And a start was lost
    And the worker in zone "a" is cut off
    And the operator evacuates zone "a"
    And every instance has learned of it
    And the worker in zone "a" is connected again and loses no starts
    Then the job is completed and nothing started in zone "a"

  Scenario: A gang that has started partly is completed in an evacuated zone
    Guards against members that are lost as the start of the last one, which got
    no answer, is withdrawn.
    Given a cell with a worker in each of the zones "a b" and 1 instances
    And zone "a" is used first
    When the next 1 starts are lost
    And a gang of 3 tasks with 1000 millicores each is submitted
    And 2 of its members have begun
    And the operator evacuates zone "a"
    Then the other job is completed
    And each of its tasks has begun once

  Scenario: A gang that cannot be completed soon starts whole elsewhere
    Guards against starts of members that are repeated for seconds after the
    request.
    Given a cell with a worker in each of the zones "a b" and 1 instances
    And zone "a" is used first
    When the next 1 starts are lost
    And a gang of 3 members that run for 5000 ms is submitted
    And 2 of its members have begun
    And the worker in zone "a" loses all starts
    And the operator evacuates zone "a"
    Then no further start is sent to zone "a" from 1.8 s on
    And the other job is completed in zone "b"

  Scenario: A start that waits until it is stored is withdrawn
    Guards against the start of a task that may crash its worker, which is sent
    only after the store has it.
    Given a cell with a worker in each of the zones "a b" and 1 instances
    When the operator evacuates zone "a"
    And the operator evacuates zone "b"
    And every instance has learned of both
    And 1 tasks are submitted to the cell
    And a worker has crashed under the task and starts are stored late
    And the operator ends the evacuation of zone "a"
    And the task is about to start
    And the operator evacuates zone "a"
    And every instance has learned of both
    And the start is stored
    And the operator ends the evacuation of zone "b"
    Then the job is completed and nothing started in zone "a"

  Scenario Outline: Cold workers are used after warm ones of equal cost
    Guards against work that is slow on a cold worker, while a warm one with the
    same free cores has nothing to do.
    Given 2 workers with 4 cores each
    And the first worker is cold for <cold> ms
    And a waiting <kind> of 1 cores
    When a plan is made 100 ms later
    Then only the <used> worker is used

    Examples:
      | cold | kind      | used   |
      | 3000 | task      | second |
      | 3000 | gang      | second |
      | 3000 | lone task | second |
      | 50   | task      | first  |
      | 0    | task      | first  |

  Scenario: The most urgent step gets the warm worker
    Guards against a step without slack that waits or runs on the cold worker.
    Given 2 workers with 4 cores each
    And the first worker is cold for 3000 ms
    And a waiting task of 4 cores that is due in 60 s
    And a waiting task of 4 cores that is due in 10 s
    When a plan is made 0 ms later
    Then the task that is due in 10 s runs on the second worker
    And the task that is due in 60 s runs on the first worker

  Scenario Outline: The time for which a worker is cold is read from its row
    Guards against a worker that cannot be used since the field is missing.
    When a registration with "<field>" is read at 100 s
    Then its worker is cold until <until> s
    And the stored roster does not have that time

    Examples:
      | field                     | until |
      |                           | 0     |
      | "coldRemainingMs": 0,     | 0     |
      | "coldRemainingMs": 2500,  | 102.5 |

  Scenario: The leader knows for how long a worker is cold
    Guards against a time that counts from another clock or moment.
    Given a cell with a worker in each of the zones "a b" and 1 instances
    When the worker in zone "a" registers that it is cold for 3000 ms
    Then the leader takes it for cold until 2 to 3 s from now

  Scenario: An operator sees what remains in an evacuated zone
    Guards against an evacuation whose progress shows nowhere.
    Given a cell with a worker in each of the zones "a b" and 2 instances
    And zone "a" is used first
    And the log lines are recorded
    When a job with the payload "ms=2500" is submitted and has begun
    And the operator evacuates zone "a"
    Then every instance knows the evacuated zones "a"
    And the log says that zone "a" is evacuated and that 1 run remains
    And the metrics show 1 evacuated zones and 1 runs that remain in zone "a"
    And later 0 runs that remain in zone "a"
    When the operator ends the evacuation of zone "a"
    Then the log says that zone "a" has returned
    And the metrics show no runs that remain in zone "a"

  Scenario: Progress is logged every 5 s, with the reasons why runs remain
    Guards against a log that is silent, or that grows with workers or zones.
    Given 2 workers with 4 cores each
    And the first 2 workers are in the evacuated zone
    And 2 long-running runs on the first worker
    And 1 long-running runs on the second worker
    And the second worker does not answer
    When the zone and 30 further zones are logged each second for 12 s
    Then each zone was logged 3 times, at most 20 in a second
    And the zone was logged with 2 workers, 1 silent and 3 long-running runs

  Scenario: A job whose start was withdrawn is explained
    Guards against a delay by an evacuation that the explanation does not name.
    Given log lines about a job whose start was refused as "evacuated"
    When the job is explained
    Then the cause names "1 starts were withdrawn as their zone was evacuated"

  Scenario Outline: A gang may complete its starts for a short time only
    Guards against starts that are sent late, since this instance learned of the
    evacuation late, or since it was requested again.
    Given a gang of which one member was sent and one was not
    And its zone was last known not to be evacuated <absent> s ago
    And its evacuation was learned <learned> s ago and requested again now
    Then the start of a member is <result>

    Examples:
      | absent | learned | result        |
      | 0.5    | 0.3     | not withdrawn |
      | 1.2    | 1.1     | withdrawn     |
      | 3.3    | 0.1     | not withdrawn |
      | 3.5    | 0.1     | withdrawn     |
      | inf    | 0.1     | withdrawn     |
