import { brand, millis, seconds, SILENT_LOG, VirtualClock } from '@papayahill/common'
import type { EndpointId } from '@papayahill/common'
import { EndpointDirectory } from '@papayahill/directory'
import { UNLIMITED } from '@papayahill/limits'
import { describe, expect, it } from 'vitest'
import { BatchCoordinator } from './BatchCoordinator.js'
import { stagePiece, stageRecord, TEST_PROFILE } from './testing/stageEndpoint.js'
import { chainOf, endpointsOf, StageHarness, workOf } from './testing/StageHarness.js'
import type { GroupId, Piece, PieceOutcome } from './types.js'

const GROUP = brand<GroupId>('encode')
const ENDPOINT = brand<EndpointId>('e1')

/** A coordinator of one endpoint that runs one call at a time. */
const coordinatorRig = () => {
  const clock = new VirtualClock()
  const owner = { isSelf: true }
  const directory = new EndpointDirectory({ clock, log: SILENT_LOG, isDomainOut: () => false })
  directory.changed([{ key: ENDPOINT, value: { record: stageRecord(ENDPOINT) }, revision: 1 }], millis(0))
  const call = async (_endpoint: unknown, pieces: readonly Piece[]) => {
    await clock.sleep(TEST_PROFILE.callTime)
    return { kind: 'answered' as const, outcomes: pieces.map(({ request, index }) => ({ handle: `${request}/${index}` })) }
  }
  const coordinator = new BatchCoordinator({
    clock,
    log: SILENT_LOG,
    caller: { call, free: async () => {} },
    directory,
    limits: UNLIMITED,
    profileOf: () => TEST_PROFILE,
    isOwn: () => owner.isSelf
  })
  const order = (request: string, count: number): Promise<readonly PieceOutcome[]> => new Promise((resolve) => {
    const pieces = Array.from({ length: count }, (_none, index) => stagePiece(request, { index }))
    coordinator.accept({ group: GROUP, places: [{ endpoint: ENDPOINT, cost: millis(0) }], pieces }, { onInputsRead: () => {} }, resolve)
  })
  return { clock, owner, coordinator, order }
}

describe('BatchCoordinator', () => {
  // Guards against groups of services that nobody calls any more, each of which is planned anew at every tick.
  it('does not keep groups that have nothing queued or in progress', async () => {
    const services = Array.from({ length: 20 }, (_none, at) => `encode${at}`)
    const harness = new StageHarness(1, services.flatMap((service) => endpointsOf(service, 1)))
    await harness.start()
    const served = services.map((service) => harness.serve(0, workOf(harness, service, chainOf(1, service), [2], seconds(5), seconds(5))))
    await harness.clock.advance(seconds(5))
    expect((await Promise.all(served)).every((took) => took !== undefined)).toBe(true)
    expect(harness.instances[0]!.coordinator.groupCount).toBe(0)
  })

  // Guards against two instances that form batches for the same endpoints, since one was not seen to lose a group that had been idle.
  it('hands back what is queued for a group that had been idle and has moved to another instance', async () => {
    const { clock, owner, coordinator, order } = coordinatorRig()
    const first = order('r1', 1)
    await clock.advance(seconds(1))
    expect(await first).toHaveLength(1)
    coordinator.pumpAll()
    expect(coordinator.groupCount).toBe(0)
    void order('r2', TEST_PROFILE.size)
    const queued = order('r3', 1)
    await clock.advance(millis(20))
    expect(coordinator.waitingPieces).toBe(1)
    owner.isSelf = false
    coordinator.pumpAll()
    expect(coordinator.waitingPieces).toBe(0)
    expect(await queued).toEqual([{ fault: 'moved', endpoint: undefined }])
  })
})
