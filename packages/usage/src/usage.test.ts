import { seconds } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { DEFAULT_LATE, DEFAULT_WINDOW } from './constants.js'
import { judgeReports } from './testing/judgeReports.js'
import type { ReportJudgement } from './testing/judgeReports.js'
import { UsageHarness } from './testing/UsageHarness.js'

const judge = (harness: UsageHarness, from: number, through: number): ReportJudgement =>
  judgeReports(harness.platform, { from, through, length: DEFAULT_WINDOW, late: DEFAULT_LATE })

describe('usage of many instances', () => {
  it('reports each window once and in time', async () => {
    const harness = new UsageHarness({ instances: 6, seed: 1 })
    await harness.start()
    const from = harness.window + 1
    await harness.clock.advance(seconds(60))
    const result = judge(harness, from, harness.window - 3)
    expect(result).toMatchObject({ missing: 0, contradicted: 0, inTime: result.windows })
  })
})
