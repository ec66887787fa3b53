import { brand, bytes, millis } from '@papayahill/common'
import type { EndpointId, Millis, ServiceId } from '@papayahill/common'
import type { StageNode } from '@papayahill/directory'
import { describe, expect, it, vi } from 'vitest'
import { StageGraphRun } from './StageGraphRun.js'
import type { StageContext } from './StageGraphRun.js'
import { leastStageTime } from './stageTimes.js'
import { chainOf, endpointsOf, StageHarness, workOf } from './testing/StageHarness.js'
import { TEST_PROFILE } from './testing/stageEndpoint.js'
import type { PieceFault, PieceOutcome, ProfileOf, StageOrder } from './types.js'

const CHAIN = chainOf(5, 'cut', 'scan', 'note')
/** Stages whose results nearly fill the memory of their endpoints. */
const LARGE = chainOf(16, 'cut', 'scan', 'note')
const TARGET = millis(1500)
const TIMEOUT = millis(6000)
const ENDPOINTS = [...endpointsOf('cut', 2), ...endpointsOf('scan', 2), ...endpointsOf('note', 2)]

const startHarness = async (instances = 3, endpoints = ENDPOINTS): Promise<StageHarness> => {
  const harness = new StageHarness(instances, endpoints)
  await harness.start()
  return harness
}

/** Sends requests at a fixed rate, to one instance after the other; returns the time that each took. */
const serveRequests = async (
  harness: StageHarness, count: number, every: number, stages = CHAIN
): Promise<ReadonlyArray<Millis | undefined>> => {
  const took: Array<Promise<Millis | undefined>> = []
  for (let at = 0; at < count; at++) {
    took.push(harness.serve(at % harness.instances.length, workOf(harness, `r${at}`, stages, [1, 3, 4], TARGET, TIMEOUT)))
    await harness.clock.advance(millis(every))
  }
  await harness.clock.advance(millis(8000))
  return await Promise.all(took)
}

const countInTime = (took: ReadonlyArray<Millis | undefined>): number => took.filter((time) => time !== undefined && time <= TARGET).length

describe('StageGraphRun', () => {
  it('serves requests of all instances in time if the endpoints have the capacity with full batches', async () => {
    const harness = await startHarness()
    const took = await serveRequests(harness, 100, 100)
    expect(took).not.toContain(undefined)
    expect(countInTime(took)).toBeGreaterThanOrEqual(90)
    expect(harness.endpoints.faults).toMatchObject({ gone: 0, room: 0 })
  })

  it('never exceeds an endpoint\'s memory though released results are freed late', async () => {
    const harness = await startHarness()
    harness.endpoints.freeDelay = millis(25)
    await serveRequests(harness, 100, 150, LARGE)
    expect(harness.endpoints.faults.room).toBe(0)
  })

  it('serves requests in time although one endpoint is slow', async () => {
    const harness = await startHarness()
    harness.endpoints.slowdown.set('scan-0', 5)
    const took = await serveRequests(harness, 60, 140)
    expect(countInTime(took)).toBeGreaterThanOrEqual(50)
  })

  // Guards against lists of inputs that grow with the square of a request's pieces, and fill the heap in one turn.
  it('keeps one list of inputs for all pieces of a stage', async () => {
    const harness = await startHarness(1)
    const run = vi.spyOn(harness.instances[0]!.context.router, 'run')
    const served = harness.serve(0, workOf(harness, 'r1', chainOf(0, 'cut', 'scan'), [12, 12], TIMEOUT, TIMEOUT))
    await harness.clock.advance(TIMEOUT)
    expect(await served).toBeDefined()
    const [, second] = run.mock.calls.map(([{ pieces }]) => pieces)
    expect(second!.map(({ inputs }) => inputs.length)).toEqual(Array.from({ length: 12 }, () => 12))
    expect(new Set(second!.map(({ inputs }) => inputs)).size).toBe(1)
  })

  // Guards against a failure that is told as a cancellation, since failing ends the rest of the graph.
  it('tells the fault at which it failed', async () => {
    const harness = await startHarness(1)
    const { context } = harness.instances[0]!
    vi.spyOn(context.router, 'run').mockImplementation(({ pieces }) => Promise.resolve(pieces.map(({ stage }): PieceOutcome =>
      stage === 1 ? { fault: 'unplaced', endpoint: undefined } : { handle: 'cut-0/1', endpoint: brand<EndpointId>('cut-0') })))
    const ended = await new StageGraphRun(context, workOf(harness, 'r1', chainOf(5, 'cut', 'scan'), [1, 1], TARGET, TIMEOUT)).run()
    expect(ended.isErr && ended.error).toEqual({ fault: 'failed', stage: 1 })
  })

  it('ends at once when it is cancelled, though an endpoint is at work, and frees the result that comes later', async () => {
    const harness = await startHarness(1)
    harness.endpoints.slowdown.set('cut-0', 20)
    harness.endpoints.slowdown.set('cut-1', 20)
    const { context } = harness.instances[0]!
    const free = vi.spyOn(context.router, 'free')
    const run = new StageGraphRun(context, workOf(harness, 'r1', chainOf(5, 'cut'), [1], TARGET, millis(60_000)))
    const ended = run.run()
    await harness.clock.advance(millis(300))
    run.cancel()
    const outcome = await ended
    expect(outcome.isErr && outcome.error).toEqual({ fault: 'late', stage: 0 })
    expect(free).not.toHaveBeenCalled()
    await harness.clock.advance(millis(30_000))
    expect(free).toHaveBeenCalledTimes(1)
  })

  describe('a piece that ends each call that it is in', () => {
    it('takes the pieces of others with it once or twice, and never their requests', async () => {
      const harness = await startHarness(1)
      harness.endpoints.deadly.add('r20')
      const took = await serveRequests(harness, 40, 30)
      expect(took.filter((time) => time === undefined)).toHaveLength(1)
      expect(took[20]).toBeUndefined()
    })

    it('ends four calls, the last one alone', async () => {
      const harness = await startHarness(1)
      harness.endpoints.deadly.add('r3')
      await serveRequests(harness, 8, 20, chainOf(5, 'cut'))
      expect(harness.endpoints.lostCalls).toHaveLength(4)
      expect(harness.endpoints.lostCalls.at(-1)).toBe(1)
    })
  })

  // Guards against a call for a piece whose inputs are known to be freed: it takes the time of a whole call and fails.
  it('recomputes the inputs at once when one piece of a later stage failed after they were freed', async () => {
    const harness = await startHarness(1)
    await serveRequests(harness, 6, 400)
    harness.endpoints.failing.add('again 2 1')
    const took = harness.serve(0, workOf(harness, 'again', CHAIN, [1, 3, 4], TARGET, TIMEOUT))
    const callsBefore = harness.endpoints.calls.length
    await harness.clock.advance(millis(6000))
    expect(await took).toBeDefined()
    const noteCalls = harness.endpoints.calls.slice(callsBefore).filter(({ endpoint }) => endpoint.startsWith('note'))
    expect(noteCalls.map(({ pieces }) => pieces)).toEqual([4, 1])
    expect(harness.endpoints.faults.gone).toBe(0)
  })

  describe('a graph with exponentially many chains', () => {
    /** Three stages in each layer, all of which read all of the layer before: 3 ** 20 chains. */
    const LAYERS: readonly StageNode[] = Array.from({ length: 60 }, (_none, index) => {
      const first = index - index % 3 - 3
      return { index, service: brand<ServiceId>('cut'), after: first < 0 ? [] : [first, first + 1, first + 2], resultBytes: bytes(1) }
    })
    const COUNTS = LAYERS.map(() => 1)
    /** Far more steps than there are pairs of stages. */
    const MAX_STEPS = 50_000

    /** Throws instead of going on for ever. */
    const countedProfile = (): ProfileOf => {
      let steps = 0
      return () => {
        if (++steps > MAX_STEPS) throw new Error(`more than ${MAX_STEPS} steps`)
        return TEST_PROFILE
      }
    }

    it('has its time forecast in few steps', () => {
      const { callTime, pieceTime } = TEST_PROFILE
      expect(leastStageTime(LAYERS, COUNTS, countedProfile())).toBe(20 * (callTime + pieceTime))
    })

    it.each([['once', []], ['again after its inputs were gone', ['gone']]] as const)('is run in few steps, %s', async (_name, faults) => {
      const left: PieceFault[] = [...faults]
      const run = async ({ pieces }: StageOrder): Promise<readonly PieceOutcome[]> => pieces.map(({ stage, index }) => {
        const fault = stage === 59 ? left.pop() : undefined
        const endpoint = brand<EndpointId>('cut-0')
        return fault === undefined ? { handle: `${stage}/${index}`, endpoint } : { fault, endpoint }
      })
      const harness = new StageHarness(1, ENDPOINTS)
      const router = { run, free: () => {}, cancel: () => {} } as unknown as StageContext['router']
      const context = { ...harness.instances[0]!.context, router, profileOf: countedProfile() }
      const results = await new StageGraphRun(context, workOf(harness, 'r', LAYERS, COUNTS, TARGET, millis(60_000))).run()
      expect(results.isOk).toBe(true)
    })
  })

  // Guards against a list for each piece: 4096 pieces that read 4096 results took 134 MB in one turn of the event loop.
  it('gives all pieces of a stage one list of inputs', async () => {
    const harness = new StageHarness(1, ENDPOINTS)
    const orders: StageOrder[] = []
    const run = async (order: StageOrder): ReturnType<StageContext['router']['run']> => {
      orders.push(order)
      return order.pieces.map(({ stage, index }) => ({ handle: `${stage}/${index}`, endpoint: brand<EndpointId>('cut-0') }))
    }
    const router = { run, free: () => {}, cancel: () => {} } as unknown as StageContext['router']
    const context = { ...harness.instances[0]!.context, router }
    const results = await new StageGraphRun(context, workOf(harness, 'r', CHAIN, [40, 30, 20], TARGET, TIMEOUT)).run()
    expect(results.isOk).toBe(true)
    expect(orders.map(({ pieces }) => pieces.map(({ index }) => index))).toEqual([40, 30, 20].map((count) => [...Array(count).keys()]))
    expect(orders.map(({ pieces }) => pieces[0]!.inputs.length)).toEqual([0, 40, 30])
    expect(orders.map(({ pieces }) => new Set(pieces.map(({ inputs }) => inputs)).size)).toEqual([1, 1, 1])
  })

  // Guards against a message for each group and request to coordinators that have little time as it is.
  it('cancels only the orders that have not ended', async () => {
    const harness = new StageHarness(1, ENDPOINTS)
    const cancelled: string[] = []
    const run = async ({ group, pieces }: StageOrder): ReturnType<StageContext['router']['run']> => {
      if (pieces[0]!.stage > 0) await new Promise(() => {})
      return pieces.map(({ index }) => ({ handle: `${group}/${index}`, endpoint: brand<EndpointId>('cut-0') }))
    }
    const router = { run, free: () => {}, cancel: (group: string) => { cancelled.push(group) } } as unknown as StageContext['router']
    const graph = new StageGraphRun({ ...harness.instances[0]!.context, router }, workOf(harness, 'r', CHAIN, [1, 1, 1], TARGET, TIMEOUT))
    void graph.run()
    await harness.clock.advance(millis(10))
    graph.cancel()
    expect(cancelled).toEqual([`${CHAIN[1]!.service}/0`])
  })

  describe('when coordinators change', () => {
    it('serves the requests whose coordinator is killed', async () => {
      const harness = await startHarness()
      const took = [0, 1].map((at) => harness.serve(at, workOf(harness, `k${at}`, CHAIN, [1, 3, 4], TARGET, TIMEOUT)))
      await harness.clock.advance(millis(100))
      harness.kill(2)
      await harness.clock.advance(millis(6000))
      expect(await Promise.all(took)).not.toContain(undefined)
    })

    it('sends no order to an instance that stops, even from one that missed the announcement', async () => {
      const harness = await startHarness()
      const leavingInstance = harness.instances[0]!.roster.coordinatorOf('scan/0')
      const at = harness.instances.findIndex(({ identity }) => identity.id === leavingInstance)
      harness.instances[at]!.router.leave()
      await harness.clock.advance(millis(20))
      await harness.restart((at + 1) % 3, millis(300))
      const took = await serveRequests(harness, 60, 100)
      expect(took).not.toContain(undefined)
      expect(harness.endpoints.calls.map(({ instance }) => instance)).not.toContain(leavingInstance)
    })
  })
})
