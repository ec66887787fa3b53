import { SystemClock } from '@papayahill/common'
import { hideBin } from 'yargs/helpers'
import { runCli } from './runCli.js'

const code = await runCli(hideBin(process.argv), {
  clock: new SystemClock(),
  env: process.env,
  write: (text) => { process.stdout.write(text) },
  writeError: (line) => { process.stderr.write(`${line}\n`) }
})
process.exit(code)
