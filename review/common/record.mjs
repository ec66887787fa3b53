/** Runs a case to its exit code and writes what was sent, answered and run to the file named by the first argument. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const HELD = 0
const BROKEN = 1
const COULD_NOT_RUN = 2
const LONGEST_RUN_MS = 110_000

/** Whether the case is to be played with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

const recordFile = process.argv[2]

/** Runs a case: `play` resolves with the lines that say how the rule was broken, none if it held. */
export const runCase = async (play) => {
  const startedAt = performance.now()
  const lines = []
  const record = (line) => lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}`)
  const temporary = mkdtempSync(join(tmpdir(), 'review-'))
  const closing = []
  let code = COULD_NOT_RUN
  try {
    const late = new Promise((_resolve, reject) => setTimeout(() => reject(new Error('the case took too long')), LONGEST_RUN_MS).unref())
    const broken = await Promise.race([play({ record, temporary, onEnd: (close) => closing.push(close) }), late])
    for (const line of broken) record(`BROKEN: ${line}`)
    if (broken.length === 0) record('the rule held')
    code = broken.length > 0 ? BROKEN : HELD
  } catch (err) {
    record(`could not run: ${err.stack}`)
  }
  for (const close of closing.reverse()) await close()
  if (process.env.KEEP_LOGS === undefined) rmSync(temporary, { recursive: true })
  else console.log(`logs: ${temporary}`)
  writeFileSync(recordFile, `${lines.join('\n')}\n`)
  console.log(lines.slice(-6).join('\n'))
  process.exit(code)
}

/** Ends all processes that the case started. */
export const endMachines = async (machines) => {
  for (const machine of machines) machine.signal('SIGKILL')
  for (const machine of machines) await machine.ended()
}
