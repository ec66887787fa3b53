/**
 * Judges a run of the tests and benches against KNOWN-RED.txt: what is listed there is printed and passed over,
 * anything else that is red fails the run. Closes with one line, `N passed, N failed`.
 */
import { existsSync, readFileSync } from 'node:fs'

const [testsFile, benchesFile] = process.argv.slice(2)

const readKnownRed = () => {
  const lines = readFileSync(new URL('../KNOWN-RED.txt', import.meta.url), 'utf8').split('\n')
  const named = (kind) => lines.filter((line) => line.startsWith(`${kind}: `)).map((line) => line.slice(kind.length + 2).trim())
  return { tests: named('test'), benches: named('bench') }
}

const readTests = (file) => {
  const report = JSON.parse(readFileSync(file, 'utf8'))
  const cases = report.testResults.flatMap((suite) => suite.assertionResults.map(({ fullName, status }) => ({ name: fullName, status })))
  const broken = report.testResults
    .filter((suite) => suite.status === 'failed' && suite.assertionResults.length === 0)
    .map((suite) => ({ name: `${suite.name}: ${suite.message}`, status: 'failed' }))
  return [...cases, ...broken]
}

const readBenches = (file) => {
  if (!existsSync(file)) return []
  const lines = readFileSync(file, 'utf8').split('\n').filter((line) => line.startsWith('{'))
  return lines.map((line) => JSON.parse(line)).map(({ bench, ok }) => ({ name: bench, status: ok ? 'passed' : 'failed' }))
}

const known = readKnownRed()
const results = [
  ...readTests(testsFile).map((result) => ({ ...result, isKnown: known.tests.includes(result.name) })),
  ...readBenches(benchesFile).map((result) => ({ ...result, isKnown: known.benches.includes(result.name) }))
]
const passed = results.filter(({ status }) => status === 'passed')
const red = results.filter(({ status }) => status === 'failed')
const failed = red.filter(({ isKnown }) => !isKnown)

for (const { name } of red.filter(({ isKnown }) => isKnown)) console.log(`known red: ${name}`)
for (const { name } of failed) console.log(`FAILED: ${name}`)
console.log(`${passed.length} passed, ${failed.length} failed`)
process.exitCode = failed.length > 0 || passed.length === 0 ? 1 : 0
