import { exponential, millis, seconds, SeededRandom } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { chainOf, endpointsOf, StageHarness, workOf } from './testing/StageHarness.js'

const SERVICES = ['cut', 'scan', 'note', 'bind', 'fold', 'pack'] as const
const ENDPOINTS_PER_SERVICE = 4
const INSTANCES = 18
const REQUESTS_PER_SECOND = 30
/** Processor time of a message: the messages of one group keep a processor busy for half of the time. */
const MESSAGE_COST = millis(7)
const TARGET = millis(2400)
const TIMEOUT = millis(6000)

/** The share of requests with a piece in every service that are served by their target. */
const servedInTime = async (services: readonly string[], span: Millis): Promise<number> => {
  const harness = new StageHarness(INSTANCES, services.flatMap((service) => endpointsOf(service, ENDPOINTS_PER_SERVICE)))
  await harness.start()
  for (let at = 0; at < INSTANCES; at++) harness.limitProcessor(at, MESSAGE_COST)
  const random = new SeededRandom(1)
  const endsAt = harness.clock.now() + span
  const served: Array<Promise<number | undefined>> = []
  while (harness.clock.now() < endsAt) {
    const work = workOf(harness, `r${served.length}`, chainOf(1, ...services), services.map(() => 1), TARGET, TIMEOUT)
    served.push(harness.serve(Math.floor(random.next() * INSTANCES), work))
    await harness.clock.advance(millis(exponential(random, 1000 / REQUESTS_PER_SECOND)))
  }
  await harness.clock.advance(TIMEOUT)
  const times = await Promise.all(served)
  return times.filter((took) => took !== undefined && took <= TARGET).length / times.length
}

describe('instances whose processors bear the coordination of one group each', () => {
  // Guards against a coordinator of several groups that falls behind, while instances without any are idle.
  it.each([4, 17, 21])('serve nearly all requests in time, with services named after %i', async (name) => {
    expect(await servedInTime(SERVICES.map((service) => `${service}-${name}`), seconds(10))).toBeGreaterThan(0.95)
  })
})
