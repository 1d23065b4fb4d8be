Feature: Components of a running entry instance

  Scenario: The usage of a team includes its tasks on the workers of peers
    Guards against preferring a team because its tasks run on the workers of
    other instances of the zone.
    Given an instance that runs 1 task of "claims" and a peer that runs 3 of "desk"
    When the usage reporter reports
    Then the reported usage of "claims" is 0.25 and of "desk" 0.75

  Scenario: A draining peer is not proposed as owner of any worker
    Guards against handing workers over to an instance that is about to stop.
    Given an instance with a live peer and 40 listed workers
    When the ownership is reviewed before and while the peer is draining
    Then the instance owns some workers at first and all 40 afterwards
